import type { Duplex } from 'node:stream';

import type { GalenatillerError } from '@galenatiller/error';

import type { NodeFrame } from './frames.js';
import { encodeFrame, FrameDecoder } from './wireFrame.js';

/** Frames in both directions between two nodes. */
export interface Link {
  /** Takes the next frame; undefined when the link has ended. Throws GalenatillerError when the stream is lost. */
  readonly next: () => Promise<NodeFrame | undefined>;
  /** Reads frames until the link ends. */
  readonly read: () => AsyncGenerator<NodeFrame, void, void>;
  /** Sends a frame; false when it could not be sent and so never reaches the peer. */
  readonly send: (frame: NodeFrame) => boolean;
  /** Ends the link at once. */
  readonly close: () => void;
  /** Sends what is left, then ends the link. */
  readonly end: () => void;
}

/** A link over one socket. */
export class SocketLink implements Link {
  private corked = false;

  private readonly frames: AsyncGenerator<NodeFrame, void, void>;

  private constructor(private readonly socket: Duplex) {
    // An error is always followed by close, which ends the reader.
    socket.on('error', () => {});
    this.frames = readFrames(socket);
  }

  /** Makes a link over a connected socket with Nagle's algorithm off. */
  static create(opts: { readonly socket: Duplex }): SocketLink {
    return new SocketLink(opts.socket);
  }

  /** Takes the next frame; undefined when the link has ended. Throws GalenatillerError when the stream is lost. */
  async next(): Promise<NodeFrame | undefined> {
    const taken = await this.frames.next();
    return taken.done ? undefined : taken.value;
  }

  /** Reads frames until the link ends. */
  read(): AsyncGenerator<NodeFrame, void, void> {
    return this.frames;
  }

  /** Sends a frame; false when it could not be sent and so never reaches the peer. */
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

  /** Ends the link at once. */
  close(): void {
    this.socket.destroy();
  }

  /** Sends what is left, then ends the link. */
  end(): void {
    this.socket.end();
  }

  /** Frames sent in one turn of the event loop leave in one system call. */
  private corkUntilNextTick(): void {
    if (this.corked) {
      return;
    }
    this.corked = true;
    this.socket.cork();
    setImmediate(() => {
      this.corked = false;
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
    // A reset connection ends the link like a closed one.
  }
}

function isDecodeError(error: unknown): error is GalenatillerError {
  return error instanceof Error && 'codeName' in error;
}
