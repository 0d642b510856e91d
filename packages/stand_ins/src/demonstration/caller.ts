/** Caller of the demonstration: sends look-ups and requests and traces them. */
import {Agent} from 'node:http';
import {
  type RegionName,
  type RequestId,
  type ServiceName,
  requestId,
} from '@ibisbeam/decision';
import {got} from 'got';
import type {TraceRecorder} from './trace_recorder.js';

export interface CallerOptions {
  readonly token: string;
  readonly workspace: string;
  readonly clientAddress: string;
  readonly homeRegion: RegionName;
  readonly trace: TraceRecorder;
}

export interface SentRequest {
  readonly service: string;
  readonly path: string;
  readonly method?: 'GET' | 'POST';
  readonly idempotencyKey?: string;
  readonly body?: string;
}

export interface CallerAnswer {
  readonly request: RequestId;
  readonly status: number;
  readonly headers: Readonly<Record<string, unknown>>;
  readonly text: string;
  readonly bytes: number;
}

export interface LookupResult {
  readonly generation: number;
  readonly lifetimeSeconds: number;
  readonly entryVms: readonly {
    readonly id: string;
    readonly address: string;
    readonly weight: number;
  }[];
}

export interface Caller {
  lookUp(address: string, service: string): Promise<LookupResult>;
  send(address: string, request: SentRequest): Promise<CallerAnswer>;
  close(): void;
}

export function createCaller(options: CallerOptions): Caller {
  const {workspace, clientAddress, trace} = options;
  const agent = new Agent({keepAlive: true});
  const client = got.extend({
    retry: {limit: 0},
    throwHttpErrors: false,
    agent: {http: agent},
    headers: {
      authorization: `Bearer ${options.token}`,
      'ibisbeam-client': clientAddress,
    },
  });
  const seenOperations = new Set<string>();
  let lastRequest = 0;

  async function lookUp(
    address: string,
    service: string,
  ): Promise<LookupResult> {
    return client(`http://${address}/v1/entry-vms`, {
      searchParams: {workspace, service, client: clientAddress},
      throwHttpErrors: true,
    }).json<LookupResult>();
  }

  async function send(
    address: string,
    sent: SentRequest,
  ): Promise<CallerAnswer> {
    lastRequest += 1;
    const request = requestId(`${workspace}-${lastRequest}`);
    const operation = sent.idempotencyKey ?? request;
    trace.requestSent({
      request,
      operation,
      service: sent.service as ServiceName,
      homeRegion: options.homeRegion,
      cohort: 0,
      idempotent: sent.idempotencyKey === undefined,
      first: !seenOperations.has(operation),
    });
    seenOperations.add(operation);
    const path = `/v1/workspaces/${workspace}/services/${sent.service}${sent.path}`;
    try {
      const answer = await client(`http://${address}${path}`, {
        method: sent.method ?? 'GET',
        body: sent.body,
        responseType: 'buffer',
        headers: {
          'ibisbeam-request-id': request,
          'idempotency-key': sent.idempotencyKey,
        },
      });
      trace.requestEnded(request, answer.statusCode, answer.headers);
      return {
        request,
        status: answer.statusCode,
        headers: answer.headers,
        text: answer.body.subarray(0, 500).toString('utf8'),
        bytes: answer.body.byteLength,
      };
    } catch (error) {
      trace.requestBroken(request);
      throw error;
    }
  }

  return {lookUp, send, close: () => agent.destroy()};
}
