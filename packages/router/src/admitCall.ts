import { INVALID_ROUTE_RETRY_AFTER_MS } from '@galenatiller/constants';
import { GalenatillerError, type ResultCodeName } from '@galenatiller/error';
import type {
  InvalidRoute,
  OrganisationConfig,
  RouteConfig,
  RoutedCall,
} from '@galenatiller/types';
import { Result } from 'true-myth';

import { checkPieceCounts } from './checkPieceCounts.js';
import { STALE_EVIDENCE_MS } from './evidenceAge.js';
import type { RouterContext } from './routerContext.js';

/** A call that was admitted, and what the configuration says about it. */
export interface AdmittedCall {
  readonly route: RouteConfig;
  /** Service that the call is routed to. */
  readonly service: string;
  /** Name of the organisation; empty when the call needs no key. */
  readonly organisation: string;
  readonly priority: number;
  readonly configurationVersion: number;
  readonly maxBodyBytes: number;
  /** Monotonic time by which the caller must have its final response. */
  readonly deadlineAtMs: number;
  /** Monotonic time after which the response misses the latency objective of the route. */
  readonly dueAtMs: number;
  /** Monotonic time after which the caller no longer waits for the start of a response. */
  readonly firstByteDeadlineAtMs: number;
}

/** Options of {@link admitCall}. */
export interface AdmitCallOptions {
  readonly context: RouterContext;
  readonly call: RoutedCall;
  readonly receivedAtMs: number;
}

/** Once the store responds, a node without a configuration has read it within this time. */
const NO_CONFIGURATION_RETRY_AFTER_MS = 300;

/** Finds the route and the organisation of a call, or the error that refuses it. */
export function admitCall(opts: AdmitCallOptions): Result<AdmittedCall, GalenatillerError> {
  const { context, call, receivedAtMs } = opts;
  const configuration = context.routes.currentConfiguration();
  if (!configuration) {
    return refuseTemporarily('no configuration has been read yet');
  }
  const { version } = configuration;
  const match = context.routes.findRoute(call);
  if (!match) {
    return isStale(context)
      ? refuseTemporarily('the route may be newer than the known configuration')
      : refuse(
          'unknown-route',
          `configuration version ${version} has no route for this host and path`,
        );
  }
  const needsNoKey = configuration.organisations === undefined || match.route.isPublic;
  const organisation: Result<OrganisationConfig | undefined, GalenatillerError> = needsNoKey
    ? Result.ok(undefined)
    : findOrganisation(opts, version);
  if (match.kind === 'invalid') {
    return organisation.andThen(() => refuseInvalidRoute(context, match.route));
  }
  const { route } = match;
  const malformed = checkPieceCounts(call, route);
  if (malformed && organisation.isOk) {
    return Result.err(malformed);
  }
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
      firstByteDeadlineAtMs: receivedAtMs + Math.min(route.firstByteTimeoutMs, limitMs),
    };
  });
}

/** Finds the organisation that a bearer key belongs to, if the evidence for it is recent enough. */
function findOrganisation(
  opts: AdmitCallOptions,
  version: number,
): Result<OrganisationConfig, GalenatillerError> {
  const { context, call } = opts;
  if (context.evidenceAgeMs() > context.keyAgeLimitMs) {
    return refuseTemporarily(
      'the store has been unreachable for so long that keys may have been revoked',
    );
  }
  const organisation = context.routes.findOrganisation(call.bearerKey);
  if (organisation) {
    return Result.ok(organisation);
  }
  return isStale(context)
    ? refuseTemporarily('the key may be newer than the known configuration')
    : refuse('unauthorized', `configuration version ${version} has no organisation with this key`);
}

function isStale(context: RouterContext): boolean {
  return context.evidenceAgeMs() > STALE_EVIDENCE_MS;
}

function pickDestination(route: RouteConfig, random: () => number): string {
  const total = route.destinations.reduce((sum, { weight }) => sum + weight, 0);
  let remaining = random() * total;
  const chosen = route.destinations.find(({ weight }) => {
    remaining -= weight;
    return remaining < 0;
  });
  return (chosen ?? route.destinations[0])?.service ?? '';
}

function refuseInvalidRoute(
  { metrics }: Pick<RouterContext, 'metrics'>,
  { name, problems }: InvalidRoute,
): Result<never, GalenatillerError> {
  metrics.count({ name: 'router.calls_to_invalid_routes', tags: {} });
  return Result.err(
    GalenatillerError.create({
      name: 'route-invalid',
      detail: `route ${name}: ${problems[0] ?? ''}`,
      retryAfterMs: INVALID_ROUTE_RETRY_AFTER_MS,
    }),
  );
}

function refuseTemporarily(detail: string): Result<never, GalenatillerError> {
  const retryAfterMs = NO_CONFIGURATION_RETRY_AFTER_MS;
  return Result.err(GalenatillerError.create({ name: 'no-configuration', detail, retryAfterMs }));
}

function refuse(name: ResultCodeName, detail: string): Result<never, GalenatillerError> {
  return Result.err(GalenatillerError.create({ name, detail }));
}
