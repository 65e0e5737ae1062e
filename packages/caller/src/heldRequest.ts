import { IncomingMessage } from 'node:http';

/**
 * A request whose reading can be held. Pausing a request does not do that: Node.js goes on reading the
 * connection, and buffers each chunk of the body as an object of its own.
 */
export class HeldRequest extends IncomingMessage {
  private isHeld = false;

  /** Reads the connection, unless it is held. */
  override _read(size: number): void {
    if (!this.isHeld) {
      super._read(size);
    }
  }

  /** Stops reading the connection; what has been read is still emitted. */
  hold(): void {
    this.isHeld = true;
    this.socket.pause();
  }

  /** Reads the connection again. */
  letGo(): void {
    this.isHeld = false;
    this.socket.resume();
  }
}
