import { z } from 'zod';

/** Schema of the body of `POST /orders`. */
export const engineOrderSchema = z.object({
  kind: z.enum(['load-model', 'load-adapter', 'load-version', 'change-role']),
  name: z.string().min(1),
  fencing_number: z.int().nonnegative(),
});

/** An order that loads a model, an adapter or a version, or changes the role of the engine. */
export type FakeEngineOrder = z.infer<typeof engineOrderSchema>;

/** Options of {@link OrderHandler.create}. */
export interface OrderHandlerOptions {
  readonly checksFencing: boolean;
  /** Called for each accepted order. */
  readonly onOrder: (order: FakeEngineOrder) => void;
}

/** Executes orders; with `checksFencing`, refuses a fencing number below the highest one seen. */
export class OrderHandler {
  private highestFencingNumber = 0;

  private readonly executedOrders: FakeEngineOrder[] = [];

  private constructor(private readonly opts: OrderHandlerOptions) {}

  /** Creates a handler that has seen no order. */
  static create(opts: OrderHandlerOptions): OrderHandler {
    return new OrderHandler(opts);
  }

  /** The executed orders, oldest first. */
  get executed(): readonly FakeEngineOrder[] {
    return this.executedOrders;
  }

  /** Executes an order; returns false when it is refused for an old fencing number. */
  execute(order: FakeEngineOrder): boolean {
    if (this.opts.checksFencing && order.fencing_number < this.highestFencingNumber) {
      return false;
    }
    this.highestFencingNumber = Math.max(this.highestFencingNumber, order.fencing_number);
    this.executedOrders.push(order);
    this.opts.onOrder(order);
    return true;
  }
}
