/**
 * Memory that is given back to the system when it is released. Buffers of
 * Node.js stay until the garbage collector runs, which an idle VM hardly does,
 * and the pieces that the allocator keeps afterwards are not given back at all.
 */
export interface HeldBuffer {
  readonly bytes: Buffer;
  /** The bytes must not be in use any more; they read as empty from now on. */
  release(): void;
}

interface ResizableArrayBuffer extends ArrayBuffer {
  resize(byteLength: number): void;
}

const ResizableArrayBuffer = ArrayBuffer as unknown as new (
  byteLength: number,
  options: {readonly maxByteLength: number},
) => ResizableArrayBuffer;

export function createHeldBuffer(byteCount: number): HeldBuffer {
  const memory = new ResizableArrayBuffer(byteCount, {
    maxByteLength: byteCount,
  });
  return {
    bytes: Buffer.from(memory, 0, byteCount),
    release: () => memory.resize(0),
  };
}
