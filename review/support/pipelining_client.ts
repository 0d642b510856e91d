/**
 * A client connection on which further idempotent requests are sent before the
 * first has been answered. Answers come in the order of the requests.
 */
import {type Socket, connect} from 'node:net';
import type {TimerService} from '@ibisbeam/library';
import {CLIENT_HOST} from './zones.js';
import type {EntryVmProcess} from './entry_vm_process.js';
import type {CaseRecord} from './record.js';

export interface PipelinedCall {
  readonly attemptId: string;
  readonly path: string;
  readonly sentAtMs: number;
  status: number | undefined;
  /** When the answer was complete; undefined before. */
  answeredAtMs: number | undefined;
}

export interface PipeliningConnection {
  readonly calls: readonly PipelinedCall[];
  /** When it was closed, by whomever; undefined while it is open. */
  closedAtMs(): number | undefined;
  send(attemptId: string, request: PipelinedRequest): PipelinedCall;
  /** Closes the connection. The system resets it if bytes are unread. */
  leave(): void;
}

export interface PipelinedRequest {
  readonly path: string;
  readonly deadlineMs: number;
  /** Sent by PUT; without it the request is a GET. */
  readonly body?: Buffer;
}

const HEAD_END = '\r\n\r\n';

export async function openPipeliningConnection(
  vm: EntryVmProcess,
  timers: TimerService,
  record: CaseRecord,
): Promise<PipeliningConnection> {
  const calls: PipelinedCall[] = [];
  let received = Buffer.alloc(0);
  let answered = 0;
  let closedAtMs: number | undefined;
  const socket: Socket = connect(vm.front, vm.host);
  socket.on('error', () => {});
  await new Promise<void>((resolve, reject) => {
    socket.once('connect', resolve);
    socket.once('close', () => reject(new Error(`${vm.id} takes nothing`)));
  });
  socket.on('data', (chunk: Buffer) => {
    received = Buffer.concat([received, chunk]);
    readAnswers();
  });
  socket.on('close', () => {
    closedAtMs = timers.nowMs();
    const waiting = calls.length - answered;
    record.add(`a connection to ${vm.id} is closed, ${waiting} unanswered`);
  });

  function readAnswers(): void {
    for (;;) {
      const call = calls[answered];
      const headEnd = received.indexOf(HEAD_END);
      if (!call || headEnd < 0) {
        return;
      }
      const head = received.subarray(0, headEnd).toString('latin1');
      call.status = Number(head.slice(9, 12));
      const end = findAnswerEnd(head, received, headEnd + HEAD_END.length);
      if (end === undefined) {
        return;
      }
      received = received.subarray(end);
      call.answeredAtMs = timers.nowMs();
      answered += 1;
      record.add(`${call.attemptId} is answered: ${call.status}`);
    }
  }

  function send(
    attemptId: string,
    {path, deadlineMs, body}: PipelinedRequest,
  ): PipelinedCall {
    const call: PipelinedCall = {
      attemptId,
      path,
      sentAtMs: timers.nowMs(),
      status: undefined,
      answeredAtMs: undefined,
    };
    calls.push(call);
    const lines = [
      `${body ? 'PUT' : 'GET'} ${path} HTTP/1.1`,
      `Host: ${CLIENT_HOST}`,
      `X-Ibisbeam-Attempt-Id: ${attemptId}`,
      `X-Ibisbeam-Deadline-Ms: ${deadlineMs}`,
      ...(body ? [`Content-Length: ${body.length}`] : []),
    ];
    record.add(`${attemptId} sent to ${vm.id}: ${lines[0]}`);
    socket.write(lines.join('\r\n') + HEAD_END);
    if (body) {
      socket.write(body);
    }
    return call;
  }

  return {
    calls,
    closedAtMs: () => closedAtMs,
    send,
    leave: () => {
      record.add(`the client leaves its connection to ${vm.id}`);
      socket.destroy();
    },
  };
}

/** Returns the offset behind the answer; undefined if it is not complete. */
function findAnswerEnd(
  head: string,
  bytes: Buffer,
  bodyStart: number,
): number | undefined {
  const [, length] = /^content-length: *(\d+)/im.exec(head) ?? [];
  if (length !== undefined) {
    const end = bodyStart + Number(length);
    return bytes.length >= end ? end : undefined;
  }
  if (!/^transfer-encoding: *chunked/im.test(head)) {
    return undefined;
  }
  let offset = bodyStart;
  for (;;) {
    const lineEnd = bytes.indexOf('\r\n', offset);
    if (lineEnd < 0) {
      return undefined;
    }
    const size = parseInt(
      bytes.subarray(offset, lineEnd).toString('latin1'),
      16,
    );
    offset = lineEnd + 2 + size + 2;
    if (bytes.length < offset) {
      return undefined;
    }
    if (size === 0) {
      return offset;
    }
  }
}
