import { z } from 'zod';

/** Body of `POST /orders`. */
export const engineOrderSchema = z.object({
  kind: z.enum(['load-model', 'load-adapter', 'load-version', 'change-role']),
  name: z.string().min(1),
  fencing_number: z.int().nonnegative(),
});

/** An order to an engine. */
export type FakeEngineOrder = z.infer<typeof engineOrderSchema>;

/** Options of {@link OrderHandler.create}. */
export interface OrderHandlerOptions {
  readonly checksFencing: boolean;
  /** Carries an order out. */
  readonly onOrder: (order: FakeEngineOrder) => void;
}

/** Takes orders; a desk that checks refuses a fencing number below the highest seen. */
export class OrderHandler {
  private highest = 0;

  private readonly obeyedOrders: FakeEngineOrder[] = [];

  private constructor(private readonly opts: OrderHandlerOptions) {}

  /** Makes a desk that has seen no order. */
  static create(opts: OrderHandlerOptions): OrderHandler {
    return new OrderHandler(opts);
  }

  /** The orders that were carried out, in order. */
  get executed(): readonly FakeEngineOrder[] {
    return this.obeyedOrders;
  }

  /** Carries an order out; false when its fencing number is old. */
  execute(order: FakeEngineOrder): boolean {
    if (this.opts.checksFencing && order.fencing_number < this.highest) {
      return false;
    }
    this.highest = Math.max(this.highest, order.fencing_number);
    this.obeyedOrders.push(order);
    this.opts.onOrder(order);
    return true;
  }
}
