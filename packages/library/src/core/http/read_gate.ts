import type {IncomingMessage} from 'node:http';

/** Stops and resumes the reading of the connection that a message comes on. */
export interface ReadGate {
  /** Reads no further until the message is complete. What has been read is emitted. */
  hold(): void;
  release(): void;
  /** Emits no more of the message but its end. */
  drop(): void;
}

/**
 * A message that is paused makes Node.js keep the rest of a read, up to 64 KiB,
 * in as many pieces as it has. One that is held goes on to emit them.
 */
export function createReadGate(message: IncomingMessage): ReadGate {
  const {socket} = message;
  const readConnection = message._read.bind(message);
  let isHeld = false;
  let isPauseDue = false;
  // Called whenever the message has room, which it always has while it flows.
  message._read = size => {
    if (!isHeld) {
      readConnection(size);
    }
  };

  /** After a resumption that Node.js has scheduled, which would undo it. */
  function pauseSoon(): void {
    if (isPauseDue) {
      return;
    }
    isPauseDue = true;
    queueMicrotask(() => {
      isPauseDue = false;
      if (isHeld) {
        socket.pause();
      }
    });
  }

  return {
    hold: () => {
      if (!message.complete) {
        isHeld = true;
        pauseSoon();
      }
    },
    release: () => {
      if (isHeld) {
        isHeld = false;
        readConnection(0);
      }
    },
    drop: () => {
      const push = message.push.bind(message);
      message.push = chunk => (chunk === null ? push(chunk) : true);
    },
  };
}
