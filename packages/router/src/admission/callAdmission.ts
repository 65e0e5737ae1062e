import { GalenatillerError } from '@galenatiller/error';
import type { MetricSink } from '@galenatiller/metrics';
import type { SmoothedDurations, TimerService } from '@galenatiller/timer';
import type { RouteConfig, RoutedCall } from '@galenatiller/types';

import { toPriorityTag } from '../priorityTag.js';
import type { RouteTable } from '../routeTable.js';
import { decideAdmission } from './decideAdmission.js';
import {
  decideStageStart,
  type EstimateInputs,
  estimateNewCall,
  type StageStartOptions,
} from './decideStageStart.js';
import type { StageStartDecision } from './decideStart.js';
import type { FindWaits } from './estimateCall.js';
import type { LoopLag } from './loopLag.js';

/** Options of {@link CallAdmission.create}. */
export interface CallAdmissionOptions {
  readonly timer: TimerService;
  readonly metrics: MetricSink;
  readonly routes: RouteTable;
  /** Time from a send to the start of its response, by service. */
  readonly responseTimes: SmoothedDurations;
  readonly findWaits: FindWaits;
  readonly loopLag: Pick<LoopLag, 'meanMs'>;
  /** Uniformly distributed number from 0 to 1. */
  readonly random: () => number;
}

/** What is known of a call on arrival. */
export interface ArrivedCall {
  readonly route: RouteConfig;
  /** Service that the call is routed to. */
  readonly service: string;
  readonly priority: number;
  /** Monotonic time by which the caller must have its final response. */
  readonly deadlineAtMs: number;
  /** Monotonic time after which the caller no longer waits for the start of a response. */
  readonly firstByteDeadlineAtMs: number;
}

/** Options of {@link CallAdmission.findRefusal}. */
export interface AdmissionOptions {
  readonly admitted: ArrivedCall;
  readonly call: RoutedCall;
}

/** A stage whose dependencies are done. */
export interface StartingStage extends AdmissionOptions {
  readonly position: number;
  readonly stageProgress: StageStartOptions['stageProgress'];
  /** Latest monotonic time at which the stage can start for the call to be on time. */
  readonly latestStartAtMs: number;
}

/** Decides on arrival whether a call may begin, and then whether it goes on. */
export class CallAdmission {
  private constructor(private readonly opts: CallAdmissionOptions) {}

  /** Creates an instance. */
  static create(opts: CallAdmissionOptions): CallAdmission {
    return new CallAdmission(opts);
  }

  /** The error that refuses a call; undefined when it may begin. */
  findRefusal(opts: AdmissionOptions): GalenatillerError | undefined {
    const { admitted } = opts;
    const { route, priority } = admitted;
    const nowMs = this.opts.timer.nowMs();
    if (nowMs >= admitted.deadlineAtMs) {
      return this.refuse({ reason: 'past-deadline', retryAfterMs: 0, detail: '', priority });
    }
    if (route.stages.length === 0) {
      return undefined;
    }
    const { loopLag, random, routes } = this.opts;
    const leftMs = admitted.firstByteDeadlineAtMs - nowMs;
    const estimate = estimateNewCall(this.collectInputs(opts));
    const decision = decideAdmission({
      estimate,
      leftMs,
      priority,
      stagedPriorities: routes.stagedPriorities,
      loopLagMs: loopLag.meanMs,
      random,
    });
    if (decision.kind === 'admit') {
      return undefined;
    }
    const numbers = [
      `needs ${Math.round(estimate.neededMs)} of ${Math.round(leftMs)} ms`,
      `event loop ${Math.round(loopLag.meanMs)} ms late`,
    ];
    return this.refuse({ ...decision, detail: `: ${numbers.join(', ')}`, priority });
  }

  /** Decides whether a stage of a call starts now; the stages that it depends on are done. */
  decideStart(opts: StartingStage): StageStartDecision {
    const { admitted } = opts;
    const nowMs = this.opts.timer.nowMs();
    return decideStageStart({
      ...opts,
      ...this.collectInputs(opts),
      leftMs: admitted.firstByteDeadlineAtMs - nowMs,
      isLate: opts.latestStartAtMs < nowMs,
    });
  }

  /** Whether even a fast response to a call with stages would start too late if the call was sent now. */
  isTooLateToSend({ route, service, firstByteDeadlineAtMs }: ArrivedCall): boolean {
    const nowMs = this.opts.timer.nowMs();
    const fastResponseMs = this.opts.responseTimes.shortMs({ name: service, nowMs });
    return route.stages.length > 0 && nowMs + fastResponseMs > firstByteDeadlineAtMs;
  }

  private collectInputs({ admitted, call }: AdmissionOptions): EstimateInputs {
    const { timer, routes, responseTimes, findWaits } = this.opts;
    const response = { name: admitted.service, nowMs: timer.nowMs() };
    return {
      route: admitted.route,
      call,
      priority: admitted.priority,
      findLimits: (name) => routes.findService(name)?.batch,
      findWaits,
      responseMs: responseTimes.longMs(response),
      fastResponseMs: responseTimes.shortMs(response),
    };
  }

  private refuse(opts: {
    readonly reason: Extract<ReturnType<typeof decideAdmission>, { kind: 'refuse' }>['reason'];
    readonly retryAfterMs: number;
    readonly detail: string;
    readonly priority: number;
  }): GalenatillerError {
    const { reason: refusal, retryAfterMs, priority } = opts;
    const tags = { callPriority: toPriorityTag(priority), refusal };
    this.opts.metrics.count({ name: 'router.calls_turned_away', tags });
    return GalenatillerError.create({
      name: 'deadline-unreachable',
      detail: `not admitted as ${refusal}${opts.detail}`,
      retryAfterMs,
    });
  }
}
