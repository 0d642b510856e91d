/** Builds the OpenAPI description from the schemas that validate the traffic. */
import {REFUSAL_REASONS} from '@ibisbeam/decision';
import {callerPaths, buildCallerSchemas} from './caller_paths.js';
import {operatorPaths, buildOperatorSchemas} from './operator_paths.js';

export interface OpenapiDescription {
  readonly openapi: string;
  readonly info: object;
  readonly tags: readonly object[];
  /** Operations by path and method. */
  readonly paths: Readonly<Record<string, Readonly<Record<string, object>>>>;
  readonly components: {
    readonly securitySchemes: object;
    readonly schemas: Readonly<Record<string, object>>;
  };
}

/** Uses OpenAPI 3.1, which embeds JSON Schema unchanged. */
export function buildOpenapi(): OpenapiDescription {
  return {
    openapi: '3.1.0',
    info: {
      title: 'ibisbeam',
      version: '1',
      description:
        'Caller port (look-up, forwarding, tickets) and operator port of an entry VM. Every VM serves both, each on an address of its own.',
    },
    tags: [
      {name: 'caller', description: 'Caller port; audience ibisbeam-caller'},
      {
        name: 'operator',
        description: 'Operator port; audience ibisbeam-operator',
      },
    ],
    paths: {...callerPaths, ...operatorPaths},
    components: {
      securitySchemes: {
        callerToken: {type: 'http', scheme: 'bearer', bearerFormat: 'JWT'},
        operatorToken: {type: 'http', scheme: 'bearer', bearerFormat: 'JWT'},
      },
      schemas: {
        ...buildCallerSchemas(REFUSAL_REASONS),
        ...buildOperatorSchemas(),
      },
    },
  };
}
