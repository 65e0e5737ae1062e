import { GalenatillerError, type ResultCodeName } from '@galenatiller/error';
import type { RoutedCall, OrganisationConfig, RouteConfig } from '@galenatiller/types';
import { Result } from 'true-myth';

import type { RouterContext } from './routerContext.js';

/** A call that may be run, and what the configuration says of it. */
export interface AdmittedCall {
  readonly route: RouteConfig;
  /** Service that the call goes to. */
  readonly service: string;
  /** Empty for a public route. */
  readonly organisation: string;
  readonly priority: number;
  readonly configurationVersion: number;
  readonly maxBodyBytes: number;
  /** Monotonic time of the final answer at the latest. */
  readonly deadlineAtMs: number;
  /** Monotonic time after which the call is not on time any more. */
  readonly dueAtMs: number;
  /** Monotonic time after which the caller does not wait for the start of an answer any more. */
  readonly startByMs: number;
}

/** Options of {@link admitCall}. */
export interface AdmitCallOptions {
  readonly context: RouterContext;
  readonly call: RoutedCall;
  readonly receivedAtMs: number;
}

/** A node without configuration reads it within this time of the store's answer. */
const NO_CONFIGURATION_RETRY_MS = 300;

/** A waiting read answers each second; evidence older than this means that the store is not heard. */
const STALE_AFTER_MS = 2_500;

/** Finds route and organisation of a call, or says why it may not run. */
export function admitCall(opts: AdmitCallOptions): Result<AdmittedCall, GalenatillerError> {
  const { context, call, receivedAtMs } = opts;
  const configuration = context.routes.currentConfiguration();
  if (!configuration) {
    return notYet('no configuration has been read yet');
  }
  const { version } = configuration;
  const route = context.routes.findRoute(call);
  if (!route) {
    return isStale(context)
      ? notYet('the route may be newer than what is known')
      : refuse('unknown-route', `version ${version} has no route for this host and path`);
  }
  const isOpen = configuration.organisations === undefined || route.isPublic;
  const organisation = isOpen ? Result.ok(undefined) : findOrganisation(opts, version);
  return organisation.map((found) => {
    const limitMs = Math.min(call.callerTimeoutMs || route.timeoutMs, route.timeoutMs);
    return {
      route,
      service: pickDestination(route, context.random),
      organisation: found?.name ?? '',
      priority: found?.priority ?? route.priority,
      configurationVersion: version,
      maxBodyBytes: configuration.callerLimits.maxBodyBytes,
      deadlineAtMs: receivedAtMs + limitMs,
      dueAtMs: receivedAtMs + Math.min(route.latencyObjectiveMs, limitMs),
      startByMs: receivedAtMs + Math.min(route.firstByteTimeoutMs, limitMs),
    };
  });
}

/** The organisation that holds the key of a call, if the proof that it does is fresh enough. */
function findOrganisation(
  opts: AdmitCallOptions,
  version: number,
): Result<OrganisationConfig, GalenatillerError> {
  const { context, call } = opts;
  if (context.evidenceAgeMs() > context.keyAgeLimitMs) {
    return notYet('the store has not been heard for so long that keys may have been taken away');
  }
  const organisation = context.routes.findOrganisation(call.bearerKey);
  if (organisation) {
    return Result.ok(organisation);
  }
  return isStale(context)
    ? notYet('the key may be newer than what is known')
    : refuse('unauthorized', `version ${version} has no organisation with this key`);
}

function isStale(context: RouterContext): boolean {
  return context.evidenceAgeMs() > STALE_AFTER_MS;
}

function pickDestination(route: RouteConfig, random: () => number): string {
  const total = route.destinations.reduce((sum, { weight }) => sum + weight, 0);
  let left = random() * total;
  const picked = route.destinations.find(({ weight }) => {
    left -= weight;
    return left < 0;
  });
  return (picked ?? route.destinations[0])?.service ?? '';
}

function notYet(detail: string): Result<never, GalenatillerError> {
  const retryAfterMs = NO_CONFIGURATION_RETRY_MS;
  return Result.err(GalenatillerError.create({ name: 'no-configuration', detail, retryAfterMs }));
}

function refuse(name: ResultCodeName, detail: string): Result<never, GalenatillerError> {
  return Result.err(GalenatillerError.create({ name, detail }));
}
