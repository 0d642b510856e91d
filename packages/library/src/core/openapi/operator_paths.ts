/** OpenAPI paths and schemas of the operator port. */
import * as z from 'zod';
import {
  burnResponseSchema,
  configurationResponseSchema,
  journalResponseSchema,
  liftQuarantineResponseSchema,
  operatorProblemSchema,
  statusResponseSchema,
} from '../operator_interface/index.js';

/** Returns the JSON Schema of a response; it allows unknown members. */
export function jsonSchemaOf(schema: z.ZodType): object {
  const {$schema: _dialect, ...rest} = z.toJSONSchema(schema, {io: 'input'});
  return rest;
}

export function buildOperatorSchemas() {
  return {
    Status: jsonSchemaOf(statusResponseSchema),
    ConfigurationStatus: jsonSchemaOf(configurationResponseSchema),
    Journal: jsonSchemaOf(journalResponseSchema),
    BurnSummary: jsonSchemaOf(burnResponseSchema),
    QuarantineLifted: jsonSchemaOf(liftQuarantineResponseSchema),
    OperatorProblem: jsonSchemaOf(operatorProblemSchema),
  };
}

type OperatorSchemaName = keyof ReturnType<typeof buildOperatorSchemas>;

interface OperatorRoute {
  readonly id: string;
  readonly summary: string;
  readonly answer: OperatorSchemaName;
  readonly parameters?: readonly object[];
  /** Error statuses besides 401, 403 and 500, which every route may return. */
  readonly errorStatuses: readonly number[];
}

const ERROR_DESCRIPTIONS: Readonly<Record<number, string>> = {
  400: 'A parameter is not well formed; `detail` names it',
  401: 'No valid token of audience ibisbeam-operator; one answer for every cause',
  403: 'The principal of the token may not do this',
  404: 'There is no such thing at this VM',
  500: 'The VM failed to answer',
  503: 'The part of the VM that knows this did not answer',
};
const COMMON_ERROR_STATUSES = [401, 403, 500];

function operation(route: OperatorRoute) {
  const responses: Record<string, object> = {
    200: {
      description: 'Answer',
      content: {'application/json': {schema: reference(route.answer)}},
    },
  };
  for (const status of [...COMMON_ERROR_STATUSES, ...route.errorStatuses]) {
    responses[status] = {
      description: ERROR_DESCRIPTIONS[status],
      content: {
        'application/problem+json': {schema: reference('OperatorProblem')},
      },
    };
  }
  return {
    tags: ['operator'],
    operationId: route.id,
    summary: route.summary,
    security: [{operatorToken: []}],
    parameters: route.parameters ?? [],
    responses,
  };
}

function reference(name: OperatorSchemaName) {
  return {$ref: `#/components/schemas/${name}`};
}

function parameter(name: string, location: 'path' | 'query', schema: object) {
  return {name, in: location, required: location === 'path', schema};
}

const requestIdSchema = {type: 'string', pattern: '^[A-Za-z0-9._:-]{1,128}$'};
const fingerprintSchema = {type: 'string', pattern: '^[A-Za-z0-9._:-]{1,64}$'};

export const operatorPaths = {
  '/v1/status': {
    get: operation({
      id: 'readStatus',
      summary: 'What this VM knows of the fleet, and what it cannot know',
      answer: 'Status',
      errorStatuses: [],
    }),
  },
  '/v1/configuration': {
    get: operation({
      id: 'readConfigurationStatus',
      summary: 'Generation that this VM runs, since when, and how fresh it is',
      answer: 'ConfigurationStatus',
      errorStatuses: [503],
    }),
  },
  '/v1/explain/{requestId}': {
    get: operation({
      id: 'explainRequest',
      summary: 'What this VM did with one request, and why',
      answer: 'Journal',
      parameters: [parameter('requestId', 'path', requestIdSchema)],
      errorStatuses: [400, 404, 503],
    }),
  },
  '/v1/events': {
    get: operation({
      id: 'readEvents',
      summary: 'What this VM did since a moment, oldest first',
      answer: 'Journal',
      parameters: [
        parameter('since', 'query', {
          type: 'integer',
          minimum: 0,
          description: 'Unix time in milliseconds',
        }),
        parameter('limit', 'query', {
          type: 'integer',
          minimum: 1,
          maximum: 5_000,
          description: 'The newest entries are kept',
        }),
      ],
      errorStatuses: [400, 503],
    }),
  },
  '/v1/burn': {
    get: operation({
      id: 'readBurn',
      summary: 'Counts and latency histograms of this life of this VM',
      answer: 'BurnSummary',
      errorStatuses: [503],
    }),
  },
  '/v1/quarantines/{fingerprint}': {
    delete: operation({
      id: 'liftQuarantine',
      summary: 'Lets a request that crashed targets run again; operators only',
      answer: 'QuarantineLifted',
      parameters: [parameter('fingerprint', 'path', fingerprintSchema)],
      errorStatuses: [400, 404],
    }),
  },
};
