import { FakeServer } from '../fakeServer.js';
import type { FakeExchange } from '../fakeServer.js';

/** A call of a router to the provider. */
export interface ProviderCall {
  readonly path: string;
  readonly holder: string;
  readonly token: number;
  readonly body: {
    readonly window?: number;
    readonly counts?: Readonly<Record<string, number>>;
    readonly service?: string;
    readonly zone?: string;
    readonly desired?: number;
  };
}

/**
 * How the provider treats calls. `loses-answer` executes a call without a response, `late` keeps it until
 * {@link FakeProvider.executeLate}, `down` closes the connection, `silent` never responds, `slow` responds
 * after a delay, and `limits` responds with 429.
 */
export type ProviderMode = 'up' | 'loses-answer' | 'late' | 'down' | 'silent' | 'slow' | 'limits';

const SLOW_MS = 800;

/** A fake of the provider's API, in memory or over the loopback address, with fault injection. */
export class FakeProvider {
  /** How the next calls are treated. */
  mode: ProviderMode = 'up';

  /** Calls that were executed and not rejected, oldest first. */
  readonly accepted: ProviderCall[] = [];

  /** All calls that arrived, oldest first. */
  readonly received: ProviderCall[] = [];

  /** What breaks the rules of the API: two counts of a window, or a token that two holders sent. */
  readonly violations: string[] = [];

  private readonly late: ProviderCall[] = [];

  private readonly highestTokens = new Map<string, number>();

  private readonly holders = new Map<string, string>();

  private readonly counts = new Map<number, string>();

  private server: FakeServer | undefined;

  private constructor() {}

  /** Creates a provider in memory. */
  static create(): FakeProvider {
    return new FakeProvider();
  }

  /** Starts a provider on the loopback address. */
  static async listen(): Promise<FakeProvider> {
    const provider = new FakeProvider();
    provider.server = await FakeServer.listen({
      port: 0,
      handle: (exchange) => provider.handle(exchange),
    });
    return provider;
  }

  /** Address as IP:PORT. */
  get address(): string {
    return `127.0.0.1:${this.server?.port ?? 0}`;
  }

  /** Counts of the accepted report of a window; undefined if there is none. */
  findCounts(window: number): Readonly<Record<string, number>> | undefined {
    return this.accepted.find(({ body }) => body.window === window)?.body.counts;
  }

  /** Treats a call by the mode; the status is undefined when no response arrives. */
  receive(call: ProviderCall): number | undefined {
    this.received.push(call);
    switch (this.mode) {
      case 'up':
      case 'slow':
        return this.execute(call);
      case 'loses-answer':
        this.execute(call);
        return undefined;
      case 'late':
        this.late.push(call);
        return undefined;
      case 'limits':
        return 429;
      case 'down':
      case 'silent':
        return undefined;
    }
  }

  /** Executes the calls that were kept. */
  executeLate(): void {
    this.late.splice(0).forEach((call) => this.execute(call));
  }

  /** Stops the server. */
  async close(): Promise<void> {
    await this.server?.stop();
  }

  private execute(call: ProviderCall): number {
    const { token, holder, body } = call;
    const subject = body.window === undefined ? `${body.service}/${body.zone}` : 'usage';
    const known = this.holders.get(`${subject} ${token}`) ?? holder;
    this.holders.set(`${subject} ${token}`, known);
    if (known !== holder) {
      this.violations.push(`${known} and ${holder} sent the token ${token} for ${subject}`);
    }
    if (token < (this.highestTokens.get(subject) ?? -Infinity)) {
      return 409;
    }
    this.highestTokens.set(subject, token);
    this.checkCounts(call);
    this.accepted.push(call);
    return 200;
  }

  private checkCounts({ body, holder }: ProviderCall): void {
    if (body.window === undefined) {
      return;
    }
    const counts = JSON.stringify(
      Object.entries(body.counts ?? {}).sort(([left], [right]) => (left < right ? -1 : 1)),
    );
    const before = this.counts.get(body.window) ?? counts;
    this.counts.set(body.window, before);
    if (before !== counts) {
      this.violations.push(`${holder} reported ${counts} for ${body.window} after ${before}`);
    }
  }

  private async handle(exchange: FakeExchange): Promise<void> {
    const status = this.receive({
      path: exchange.path,
      holder: exchange.header('x-duty-holder'),
      token: Number(exchange.header('x-fencing-token')),
      body: JSON.parse(exchange.text) as ProviderCall['body'],
    });
    if (this.mode === 'slow') {
      await new Promise((resolve) => {
        setTimeout(resolve, SLOW_MS);
      });
    }
    if (status !== undefined) {
      exchange.response.writeHead(status, { 'Content-Length': 0 });
      exchange.response.end();
    } else if (this.mode !== 'silent') {
      exchange.response.destroy();
    }
  }
}
