import { indexRules, publishConfiguration } from '@galenatiller/configuration';
import { CallBudget, createHttpTransport, StoreClient } from '@galenatiller/store';
import type { TimerService } from '@galenatiller/timer';
import type { Configuration, Rule, ZoneRule } from '@galenatiller/types';

/** Options of {@link createRulesPublisher}. */
export interface RulesPublisherOptions {
  readonly storeUrl: string;
  readonly timer: TimerService;
  readonly rules: readonly Rule[];
}

/** Publishes rules as an operator does. */
export interface RulesPublisher {
  /** The configuration that was last accepted. */
  readonly getConfiguration: () => Configuration;
  /** Publishes changed rules; rejects when they are refused. */
  readonly publish: (change: (rules: readonly Rule[]) => readonly Rule[]) => Promise<void>;
  readonly close: () => Promise<void>;
}

const AUTHOR = 'bench';
const CALLS_PER_SECOND = 100;

/** Creates a publisher that has not published anything yet. */
export function createRulesPublisher(opts: RulesPublisherOptions): RulesPublisher {
  const { timer } = opts;
  const transport = createHttpTransport({ url: opts.storeUrl });
  const store = StoreClient.create({
    transport: transport.call,
    timer,
    budget: CallBudget.create({
      timer,
      callsPerSecond: CALLS_PER_SECOND,
      maxBurstCalls: CALLS_PER_SECOND,
    }),
  });
  let configuration = indexRules({ revision: 0, rules: [] });
  let currentRules = opts.rules;

  return { getConfiguration: () => configuration, publish, close: transport.close };

  async function publish(change: (rules: readonly Rule[]) => readonly Rule[]): Promise<void> {
    const rules = change(currentRules);
    const baseRevision = configuration.revision;
    const published = await publishConfiguration({
      store,
      timer,
      author: AUTHOR,
      baseRevision,
      rules,
    });
    if (published.isErr) {
      throw new Error(`the rules were refused: ${published.error.error.detail}`);
    }
    currentRules = rules;
    configuration = indexRules({ revision: published.value.revision, rules });
  }
}

/** Returns the rules with the state of one availability zone changed. */
export function setZoneState(
  rules: readonly Rule[],
  zone: Pick<ZoneRule, 'name' | 'state'>,
): readonly Rule[] {
  return rules.map((rule) =>
    rule.kind === 'zone' && rule.name === zone.name ? { ...rule, state: zone.state } : rule,
  );
}
