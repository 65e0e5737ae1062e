/** An event of a simulation. */
export interface SimulatedEvent {
  readonly atMs: number;
  readonly run: () => void;
}

/** Events in order of their times: a binary heap. */
export class EventQueue {
  private readonly events: SimulatedEvent[] = [];

  private constructor() {}

  /** Creates an empty queue. */
  static create(): EventQueue {
    return new EventQueue();
  }

  /** The earliest event. */
  get first(): SimulatedEvent | undefined {
    return this.events[0];
  }

  /** Adds an event. */
  add(event: SimulatedEvent): void {
    this.events.push(event);
    let child = this.events.length - 1;
    while (child > 0) {
      const parent = Math.floor((child - 1) / 2);
      if (this.isOrdered(parent, child)) {
        return;
      }
      this.swap(parent, child);
      child = parent;
    }
  }

  /** Removes the earliest event. */
  removeFirst(): void {
    this.swap(0, this.events.length - 1);
    this.events.pop();
    let parent = 0;
    for (;;) {
      const left = 2 * parent + 1;
      const right = left + 1;
      const child = right < this.events.length && !this.isOrdered(left, right) ? right : left;
      if (child >= this.events.length || this.isOrdered(parent, child)) {
        return;
      }
      this.swap(parent, child);
      parent = child;
    }
  }

  private isOrdered(first: number, second: number): boolean {
    return (this.events[first]?.atMs ?? 0) <= (this.events[second]?.atMs ?? 0);
  }

  private swap(first: number, second: number): void {
    const [left, right] = [this.events[first], this.events[second]];
    if (left && right) {
      this.events[first] = right;
      this.events[second] = left;
    }
  }
}
