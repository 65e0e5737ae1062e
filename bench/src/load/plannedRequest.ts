import type { Configuration, JsonValue, RouteRule } from '@galenatiller/types';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';

import type { RouteShare } from './requestMix.js';

/** One request to send. */
export interface PlannedRequest {
  readonly organisation: string;
  readonly route: RouteRule;
  readonly stream: boolean;
  readonly atMostOnce: boolean;
  /** Idempotency key; empty for a route without stages that run at most once. */
  readonly runKey: string;
  readonly prompt: string;
  readonly body: JsonValue;
}

/** Options of {@link planRequest}. */
export interface PlanRequestOptions {
  readonly configuration: Configuration;
  readonly mix: readonly RouteShare[];
  readonly random: RandomGenerator;
  /** Number of the request, unique within the run. */
  readonly number: number;
  /** Text that crashes engines, and the share of prompts that begin with it. */
  readonly poisonMarker: string;
  readonly poisonShare: number;
  /** Organisation that sends far more than its share; empty for none. */
  readonly floodOrganisation: string;
}

/** Prompts share prefixes, like prompts that begin with the same dossier or catalogue. */
const SHARED_PREFIX_COUNT = 12;
const SHARED_PREFIX_REPEATS = 20;

/** Number of distinct prompts that crash engines; callers send each of them repeatedly. */
const POISON_PROMPT_COUNT = 2;

/** Factor by which the flooding organisation exceeds its share of the requests. */
const FLOOD_FACTOR = 20;

/** Draws one random request: the organisation by its weight, the route by the mix. */
export function planRequest(opts: PlanRequestOptions): PlannedRequest {
  const { configuration, mix, random, number } = opts;
  const organisation = drawWeighted(listWeightedOrganisations(opts), random);
  const share = drawWeighted(mix, random);
  const route = configuration.routes.get(share.route);
  if (!route) {
    throw new Error(`the rules do not define the route ${share.route}`);
  }
  const stages = route.stages.map((name) => configuration.stages.get(name));
  const atMostOnce = stages.some((stage) => stage?.idempotent === false);
  const isCall = stages.at(-1)?.work === 'call';
  const sharedPrefixIndex = Math.floor(uniformFloat64(random) * SHARED_PREFIX_COUNT);
  const sharedPrefix = `${route.name} terms ${sharedPrefixIndex}. `.repeat(SHARED_PREFIX_REPEATS);
  const isPoisoned = uniformFloat64(random) < opts.poisonShare;
  const prompt = isPoisoned
    ? `${opts.poisonMarker}Request ${number % POISON_PROMPT_COUNT}.`
    : `${sharedPrefix}Request ${number}.`;
  return {
    organisation: organisation.name,
    route,
    stream: uniformFloat64(random) < share.streamShare,
    atMostOnce,
    runKey: atMostOnce ? `${organisation.name}-${route.name}-${number}` : '',
    prompt: isCall ? '' : prompt,
    body: isCall ? { order: number, note: `${route.name} of ${organisation.name}` } : null,
  };
}

function listWeightedOrganisations(
  opts: PlanRequestOptions,
): readonly { name: string; weight: number }[] {
  return [...opts.configuration.organisations.values()].map(({ name, weight }) => ({
    name,
    weight: name === opts.floodOrganisation ? weight * FLOOD_FACTOR : weight,
  }));
}

function drawWeighted<Item extends { readonly weight: number }>(
  items: readonly Item[],
  random: RandomGenerator,
): Item {
  const total = items.reduce((sum, { weight }) => sum + weight, 0);
  let remaining = uniformFloat64(random) * total;
  const drawn = items.find(({ weight }) => {
    remaining -= weight;
    return remaining < 0;
  });
  const chosen = drawn ?? items.at(-1);
  if (!chosen) {
    throw new Error('cannot draw from an empty list');
  }
  return chosen;
}
