/** A queue between two tasks: one puts items in, one takes them out in order. */
export class Mailbox<Item> {
  private readonly items: Item[] = [];

  private wakeReader: (() => void) | undefined;

  private closed = false;

  private constructor() {}

  /** Makes an empty, open mailbox. */
  static create<Item>(): Mailbox<Item> {
    return new Mailbox<Item>();
  }

  /** Number of items that wait for the reader. */
  get size(): number {
    return this.items.length;
  }

  /** Puts an item in; an item put into a closed mailbox is dropped. */
  put(item: Item): void {
    if (this.closed) {
      return;
    }
    this.items.push(item);
    this.wake();
  }

  /** Ends the mailbox; the reader still gets what was put in before. */
  close(): void {
    this.closed = true;
    this.wake();
  }

  /** Takes items out until the mailbox is closed and empty. */
  async *read(): AsyncGenerator<Item, void, void> {
    for (;;) {
      while (this.items.length > 0) {
        yield this.items.shift() as Item;
      }
      if (this.closed) {
        return;
      }
      await new Promise<void>((resolve) => {
        this.wakeReader = resolve;
      });
    }
  }

  private wake(): void {
    const { wakeReader } = this;
    this.wakeReader = undefined;
    wakeReader?.();
  }
}
