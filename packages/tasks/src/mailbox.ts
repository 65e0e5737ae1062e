/** An unbounded FIFO queue between two tasks, a writer and a reader. */
export class Mailbox<Item> {
  private readonly items: Item[] = [];

  private wakeReader: (() => void) | undefined;

  private closed = false;

  private constructor() {}

  /** Creates an empty, open mailbox. */
  static create<Item>(): Mailbox<Item> {
    return new Mailbox<Item>();
  }

  /** Number of items that have not been read yet. */
  get size(): number {
    return this.items.length;
  }

  /** Appends an item; a closed mailbox drops it. */
  put(item: Item): void {
    if (this.closed) {
      return;
    }
    this.items.push(item);
    this.wake();
  }

  /** Closes the mailbox; the reader still gets the items appended before. */
  close(): void {
    this.closed = true;
    this.wake();
  }

  /** Yields items, in order, until the mailbox is closed and empty. */
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
