const NOTHING: Buffer = Buffer.alloc(0);

/**
 * Withholds the last byte of the events of a stream until more events or the end of the stream have come. A caller
 * whose protocol has no chunks takes the end of its connection for that of the stream, also when this process
 * is killed; without the byte it sees an event that is broken off.
 */
export class HeldTail {
  private tail = NOTHING;

  private constructor(private readonly opts: { readonly isHolding: boolean }) {}

  /** Creates a tail before the first event; one that isn't holding passes all bytes on. */
  static create(opts: { readonly isHolding: boolean }): HeldTail {
    return new HeldTail(opts);
  }

  /** Adds whole events; returns the parts that may be written. */
  push(events: Buffer): readonly Buffer[] {
    if (!this.opts.isHolding) {
      return [events];
    }
    const released = this.release();
    this.tail = Buffer.from(events.subarray(-1));
    return [...released, events.subarray(0, -1)];
  }

  /** Returns what was withheld, if anything; called when the stream is complete. */
  release(): readonly Buffer[] {
    const released = this.tail;
    this.tail = NOTHING;
    return released.length === 0 ? [] : [released];
  }
}
