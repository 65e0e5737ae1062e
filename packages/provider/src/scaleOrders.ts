import type { DutyHolding } from '@galenatiller/types';

import type { ProviderResult, ScaleOrder } from './ports.js';

/** What is to be done next for the orders. */
export type OrderStep =
  | { readonly kind: 'send'; readonly order: ScaleOrder; readonly token: number }
  /** An earlier call may still be executed, so the next one needs a higher token. */
  | { readonly kind: 'renew' }
  | { readonly kind: 'none' };

interface Subject {
  readonly order: ScaleOrder;
  isAccepted: boolean;
  /** Token of a call that may still be executed. */
  doubtfulToken: number | undefined;
}

/** The numbers of workers that a holder has ordered, each for one service in a zone. */
export class ScaleOrders {
  private readonly subjects = new Map<string, Subject>();

  private constructor() {}

  /** Creates an instance without orders. */
  static create(): ScaleOrders {
    return new ScaleOrders();
  }

  /** The number that was ordered last; undefined if none was. */
  findOrdered(opts: { readonly service: string; readonly zone: string }): number | undefined {
    return this.subjects.get(toKey(opts))?.order.workers;
  }

  /** Orders a number of workers. */
  put(order: ScaleOrder): void {
    const before = this.subjects.get(toKey(order));
    if (before?.order.workers !== order.workers) {
      const doubtfulToken = before?.doubtfulToken;
      this.subjects.set(toKey(order), { order, isAccepted: false, doubtfulToken });
    }
  }

  /** Forgets all orders, because another holder may have given others. */
  clear(): void {
    this.subjects.clear();
  }

  /** The next step under a holding. */
  next(holding: DutyHolding): OrderStep {
    const subject = [...this.subjects.values()].find(({ isAccepted }) => !isAccepted);
    if (!subject) {
      return { kind: 'none' };
    }
    const { order, doubtfulToken } = subject;
    if (doubtfulToken !== undefined && doubtfulToken >= holding.token) {
      return { kind: 'renew' };
    }
    return { kind: 'send', order, token: holding.token };
  }

  /** Takes the end of a call. */
  onSent(step: Extract<OrderStep, { kind: 'send' }>, { outcome }: ProviderResult): void {
    const subject = this.subjects.get(toKey(step.order));
    if (!subject) {
      return;
    }
    if (outcome === 'unknown') {
      subject.doubtfulToken = step.token;
    }
    if (outcome === 'accepted' && subject.order.workers === step.order.workers) {
      subject.isAccepted = true;
    }
    if (outcome !== 'accepted') {
      // Others go first, so that one that always fails holds up none.
      this.subjects.delete(toKey(step.order));
      this.subjects.set(toKey(step.order), subject);
    }
  }
}

function toKey({ service, zone }: { readonly service: string; readonly zone: string }): string {
  return JSON.stringify([service, zone]);
}
