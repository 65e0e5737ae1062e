import type { Duplex } from 'node:stream';

import type { GalenatillerError } from '@galenatiller/error';

import type { NodeFrame } from './frames.js';
import { encodeFrame, FrameDecoder } from './wireFrame.js';

/** Frames in both directions between two nodes. */
export interface Link {
  /**
   * Returns the next frame; undefined once the link has ended. Throws GalenatillerError on an
   * invalid frame.
   */
  readonly next: () => Promise<NodeFrame | undefined>;
  /** Reads frames until the link ends. */
  readonly read: () => AsyncGenerator<NodeFrame, void, void>;
  /** Sends a frame; false if it was not sent and so never reaches the peer. */
  readonly send: (frame: NodeFrame) => boolean;
  /** Closes the link immediately. */
  readonly close: () => void;
  /** Sends buffered frames, then closes the link. */
  readonly end: () => void;
}

/** A link over one socket. */
export class SocketLink implements Link {
  private isCorked = false;

  private readonly frames: AsyncGenerator<NodeFrame, void, void>;

  private constructor(private readonly socket: Duplex) {
    // An error is always followed by a close event, which ends the reader.
    socket.on('error', () => {});
    this.frames = readFrames(socket);
  }

  /** Creates a link over a connected socket, on which Nagle's algorithm must be off. */
  static create(opts: { readonly socket: Duplex }): SocketLink {
    return new SocketLink(opts.socket);
  }

  /**
   * Returns the next frame; undefined once the link has ended. Throws GalenatillerError on an
   * invalid frame.
   */
  async next(): Promise<NodeFrame | undefined> {
    const result = await this.frames.next();
    return result.done ? undefined : result.value;
  }

  /** Reads frames until the link ends. */
  read(): AsyncGenerator<NodeFrame, void, void> {
    return this.frames;
  }

  /** Sends a frame; false if it was not sent and so never reaches the peer. */
  send(frame: NodeFrame): boolean {
    if (!this.socket.writable) {
      return false;
    }
    const bytes = encodeFrame(frame);
    if (bytes.isErr) {
      return false;
    }
    this.corkUntilNextTick();
    this.socket.write(bytes.value);
    return true;
  }

  /** Closes the link immediately. */
  close(): void {
    this.socket.destroy();
  }

  /** Sends buffered frames, then closes the link. */
  end(): void {
    this.socket.end();
  }

  /** Batches the frames sent in one turn of the event loop into one system call. */
  private corkUntilNextTick(): void {
    if (this.isCorked) {
      return;
    }
    this.isCorked = true;
    this.socket.cork();
    setImmediate(() => {
      this.isCorked = false;
      this.socket.uncork();
    });
  }
}

async function* readFrames(socket: Duplex): AsyncGenerator<NodeFrame, void, void> {
  const decoder = FrameDecoder.create();
  try {
    for await (const bytes of socket) {
      const frames = decoder.push(bytes as Buffer);
      if (frames.isErr) {
        throw frames.error;
      }
      yield* frames.value;
    }
  } catch (error) {
    if (isDecodeError(error)) {
      throw error;
    }
    // A connection reset ends the link in the same way as a close.
  }
}

function isDecodeError(error: unknown): error is GalenatillerError {
  return error instanceof Error && 'codeName' in error;
}
