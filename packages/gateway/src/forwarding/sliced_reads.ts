/**
 * Hands what a socket reads to its listeners in slices. The HTTP parser works
 * through all that it is given, also after its connection has been destroyed;
 * the slices that remain then are dropped.
 */
import type {Socket} from 'node:net';

export interface SliceReader {
  /** Length of the next slice. */
  nextBytes(): number;
  /** The listeners have got the slice, unless the socket is paused. */
  onSlice(slice: Buffer): void;
}

interface SlicedSocket {
  reader: SliceReader | undefined;
}

/** Reads arrive through `push`, which is replaced once for each socket. */
const slicedSockets = new WeakMap<Socket, SlicedSocket>();

/** Returns what removes the reader. */
export function readInSlices(socket: Socket, reader: SliceReader): () => void {
  const sliced = slicedSockets.get(socket) ?? sliceReadsOf(socket);
  sliced.reader = reader;
  return () => {
    if (sliced.reader === reader) {
      sliced.reader = undefined;
    }
  };
}

function sliceReadsOf(socket: Socket): SlicedSocket {
  const sliced: SlicedSocket = {reader: undefined};
  slicedSockets.set(socket, sliced);
  const push = socket.push.bind(socket);
  socket.push = (chunk: Buffer | null, encoding) => {
    const {reader} = sliced;
    if (!reader || chunk === null) {
      return push(chunk, encoding);
    }
    let wantsMore = true;
    for (let start = 0; start < chunk.length && !socket.destroyed;) {
      const isRead = sliced.reader === reader;
      const end = isRead ? start + reader.nextBytes() : chunk.length;
      const slice = chunk.subarray(start, end);
      wantsMore = push(slice);
      if (isRead) {
        reader.onSlice(slice);
      }
      start = end;
    }
    return wantsMore && !socket.destroyed;
  };
  return sliced;
}
