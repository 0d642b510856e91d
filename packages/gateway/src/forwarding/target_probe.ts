/** Checks whether a target accepts a connection, without a request. */
import {connect as connectSocket} from 'node:net';
import type {TimerService} from '@ibisbeam/library';
import type {ConnectToTarget, TargetAddress} from './target_connections.js';

/** Covers the round trip to another region and some load on this VM. */
const PROBE_TIMEOUT_MS = 250;

/** Calls `onEnd` once; closes the connection as soon as it is established. */
export function probeTarget(
  address: TargetAddress,
  timers: Pick<TimerService, 'after'>,
  onEnd: (connected: boolean) => void,
  connect: ConnectToTarget = connectSocket,
): void {
  const socket = connect(address);
  let ended = false;

  function end(connected: boolean): void {
    if (ended) {
      return;
    }
    ended = true;
    timeout.cancel();
    socket.destroy();
    onEnd(connected);
  }

  const timeout = timers.after(PROBE_TIMEOUT_MS, () => end(false));
  socket.once('connect', () => end(true));
  socket.on('error', () => end(false));
  socket.once('close', () => end(false));
}
