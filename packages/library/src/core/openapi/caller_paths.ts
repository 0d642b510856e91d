/** OpenAPI paths and schemas of the caller port. */

export function buildCallerSchemas(reasons: readonly string[]) {
  return {
    EntryVms: {
      type: 'object',
      required: ['generation', 'lifetimeSeconds', 'entryVms'],
      properties: {
        generation: {type: 'integer', minimum: 0},
        lifetimeSeconds: {
          type: 'integer',
          minimum: 0,
          description: 'How long the answer may be cached',
        },
        entryVms: {
          type: 'array',
          description: 'Best first',
          items: {
            type: 'object',
            required: ['id', 'region', 'zone', 'address', 'weight'],
            properties: {
              id: {type: 'string'},
              region: {type: 'string'},
              zone: {type: 'string'},
              address: {type: 'string', description: 'IP number and port'},
              weight: {type: 'number', minimum: 0},
            },
          },
        },
      },
    },
    Ticket: {
      type: 'object',
      required: ['idempotencyKey'],
      properties: {idempotencyKey: {type: 'string', maxLength: 255}},
    },
    Refusal: {
      type: 'object',
      required: ['type', 'title', 'status', 'outcome'],
      properties: {
        type: {
          type: 'string',
          enum: reasons.map(
            reason => `https://ibisbeam.example/problems/${reason}`,
          ),
        },
        title: {type: 'string'},
        status: {type: 'integer'},
        detail: {type: 'string'},
        outcome: {
          type: 'string',
          enum: ['not-run', 'unknown'],
          description:
            '`not-run`: it did not run, and may be sent again. `unknown`: it may have run.',
        },
        requestId: {type: 'string'},
      },
    },
  };
}

const refusalResponse = {
  description:
    'Refused by the entry VM; a target answer never carries Ibisbeam-Outcome',
  headers: {
    'Ibisbeam-Outcome': {
      schema: {type: 'string', enum: ['not-run', 'unknown']},
    },
    'Ibisbeam-Request-Id': {schema: {type: 'string'}},
    'Retry-After': {
      schema: {type: 'integer'},
      description: 'Seconds, where a later try makes sense',
    },
  },
  content: {
    'application/problem+json': {
      schema: {$ref: '#/components/schemas/Refusal'},
    },
  },
};

function headerParameter(name: string, description: string, schema: object) {
  return {name, in: 'header', required: false, description, schema};
}

const commonParameters = [
  ...['workspace', 'service', 'path'].map(name => ({
    name,
    in: 'path',
    required: true,
    schema: {type: 'string'},
  })),
  headerParameter('Ibisbeam-Request-Id', 'Made up when absent', {
    type: 'string',
    pattern: '^[A-Za-z0-9._:-]{1,128}$',
  }),
  headerParameter('Ibisbeam-Deadline-Ms', 'Remaining time in milliseconds', {
    type: 'integer',
    minimum: 1,
  }),
  headerParameter(
    'Ibisbeam-Client',
    'IP number on whose behalf the caller asks',
    {
      type: 'string',
    },
  ),
];

const idempotencyKeyParameters = [
  {
    name: 'Idempotency-Key',
    in: 'header',
    required: true,
    description: 'Names the operation; it runs at most once',
    schema: {type: 'string', pattern: '^[\\x21-\\x7e]{1,255}$'},
  },
  headerParameter('Ibisbeam-First-Attempt', 'The key was never sent before', {
    type: 'string',
    enum: ['true'],
  }),
];

const SAFE_METHODS = ['get', 'head', 'options'];
const OTHER_METHODS = ['post', 'put', 'patch', 'delete'];

function forwardingOperations() {
  const operations: Record<string, object> = {};
  for (const method of [...SAFE_METHODS, ...OTHER_METHODS]) {
    const isSafe = SAFE_METHODS.includes(method);
    operations[method] = {
      tags: ['caller'],
      operationId: `forward${method[0]!.toUpperCase()}${method.slice(1)}`,
      summary: isSafe
        ? 'Forwards a repeatable request to a target'
        : 'Forwards an operation that runs at most once',
      security: [{callerToken: []}],
      parameters: isSafe
        ? commonParameters
        : [...commonParameters, ...idempotencyKeyParameters],
      responses: {
        default: refusalResponse,
        '2XX': {
          description:
            'Answer of the target, whole; Ibisbeam-Replayed tells that it is the recorded answer of an earlier run',
        },
      },
    };
  }
  return operations;
}

export const callerPaths = {
  '/v1/entry-vms': {
    get: {
      tags: ['caller'],
      operationId: 'lookUpEntryVms',
      summary: 'Which entry VMs a client should use, best first',
      security: [{callerToken: []}],
      parameters: [
        ...['workspace', 'service'].map(name => ({
          name,
          in: 'query',
          required: true,
          schema: {type: 'string'},
        })),
        {
          name: 'client',
          in: 'query',
          required: false,
          description:
            'IP number or block; the sender of the request if absent',
          schema: {type: 'string'},
        },
      ],
      responses: {
        200: {
          description: 'May be cached for lifetimeSeconds',
          content: {
            'application/json': {
              schema: {$ref: '#/components/schemas/EntryVms'},
            },
          },
        },
        304: {description: 'Unchanged since the ETag of If-None-Match'},
        default: refusalResponse,
      },
    },
  },
  '/v1/workspaces/{workspace}/services/{service}/{path}':
    forwardingOperations(),
  '/v1/tickets': {
    post: {
      tags: ['caller'],
      operationId: 'mintTicket',
      summary:
        'An Idempotency-Key that only this life of this VM may run, for when no claim can be made',
      security: [{callerToken: []}],
      responses: {
        201: {
          description: 'Use it once, as the Idempotency-Key of one operation',
          content: {
            'application/json': {
              schema: {$ref: '#/components/schemas/Ticket'},
            },
          },
        },
        default: refusalResponse,
      },
    },
  },
};
