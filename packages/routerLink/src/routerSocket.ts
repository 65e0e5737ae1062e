import type { Socket } from 'node:net';

import type { RouterFrame } from './routerFrames.js';
import { encodeRouterFrame, RouterFrameDecoder } from './wireRouterFrame.js';

/** Frames over one connection between two routers. */
export class RouterSocket {
  private isWriteScheduled = false;

  private constructor(private readonly socket: Socket) {
    // The close event that follows an error ends the decoder.
    socket.on('error', () => {});
  }

  /** Wraps a connected socket, which the new object closes. */
  static create(opts: { readonly socket: Socket }): RouterSocket {
    return new RouterSocket(opts.socket);
  }

  /** Whether frames can be sent. */
  get isWritable(): boolean {
    return this.socket.writable;
  }

  /** Sends a frame; false when the connection has ended. Frames of one turn share a write. */
  send(frame: RouterFrame): boolean {
    if (!this.socket.writable) {
      return false;
    }
    if (!this.isWriteScheduled) {
      this.isWriteScheduled = true;
      this.socket.cork();
      setImmediate(() => {
        this.isWriteScheduled = false;
        this.socket.uncork();
      });
    }
    this.socket.write(encodeRouterFrame(frame));
    return true;
  }

  /** Reads frames until the connection ends or sends an invalid frame. */
  async *read(): AsyncGenerator<RouterFrame, void, void> {
    const decoder = RouterFrameDecoder.create();
    try {
      for await (const bytes of this.socket) {
        const frames = decoder.push(bytes as Buffer);
        if (frames.isErr) {
          return;
        }
        yield* frames.value;
      }
    } catch {
      // A reset connection ends the link just as a closed one does.
    } finally {
      this.socket.destroy();
    }
  }

  /** Ends the connection at once. */
  close(): void {
    this.socket.destroy();
  }
}
