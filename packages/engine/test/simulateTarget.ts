import type { RunTicket, ConcurrencyLimit } from '@galenatiller/engine';
import { TimerService } from '@galenatiller/timer';

/** History of a simulated target. */
export interface TargetHistory {
  /** Times at which the target crashes, unless it is down. */
  readonly crashesAtMs: readonly number[];
  /**
   * Durations of alternating periods with more demand than the target can handle, and without
   * demand.
   */
  readonly demandMs: readonly number[];
  readonly createLimit: (timer: TimerService) => ConcurrencyLimit;
}

/** Result of a simulation. */
export interface SimulationCounts {
  readonly overloads: number;
  readonly completedRuns: number;
}

interface SimulatedRun {
  readonly ticket: RunTicket;
  readonly endsAtMs: number;
}

export const COLD_MS = 400;
export const COLD_LIMIT = 2;
export const IN_FLIGHT_LIMIT = 16;
const RESTART_MS = 350;
const RUN_MS = 30;
const STEP_MS = 5;
const SIMULATED_MS = 10_000;

/**
 * Simulates a target that crashes when overloaded in cold start, and always runs it at its limit.
 */
export function simulateTarget(history: TargetHistory): SimulationCounts {
  let nowMs = 0;
  const clock = { nowMs: () => nowMs, wallMs: () => nowMs, arm: () => () => {} };
  const limit = history.createLimit(TimerService.create({ clock }));
  let running: readonly SimulatedRun[] = [];
  let starts = 1;
  let upAtMs = 0;
  let overloads = 0;
  let completedRuns = 0;
  for (; nowMs < SIMULATED_MS; nowMs += STEP_MS) {
    if (nowMs >= upAtMs && history.crashesAtMs.some((atMs) => isInStep(atMs))) {
      crash();
    }
    if (running.length > 0) {
      limit.onStartId(String(starts));
    }
    endRuns();
    startRuns();
  }
  return { overloads, completedRuns };

  function isInStep(atMs: number): boolean {
    return atMs >= nowMs && atMs < nowMs + STEP_MS;
  }

  function crash(): void {
    starts += 1;
    upAtMs = nowMs + RESTART_MS;
    const broken = running;
    running = [];
    broken.forEach(({ ticket }) => {
      limit.onRunEnded({ ticket, how: 'broken', firstPartMs: 0 });
    });
  }

  function endRuns(): void {
    const ended = running.filter(({ endsAtMs }) => endsAtMs <= nowMs);
    running = running.filter(({ endsAtMs }) => endsAtMs > nowMs);
    completedRuns += ended.length;
    ended.forEach(({ ticket }) => {
      limit.onRunEnded({ ticket, how: 'ok', firstPartMs: STEP_MS });
    });
  }

  function startRuns(): void {
    while (hasDemand(history.demandMs, nowMs) && running.length < limit.limit()) {
      const ticket = limit.onRunStarted();
      if (nowMs < upAtMs) {
        limit.onRunEnded({ ticket, how: 'unreachable', firstPartMs: 0 });
        return;
      }
      running = [...running, { ticket, endsAtMs: nowMs + RUN_MS }];
      if (nowMs < upAtMs + COLD_MS && running.length > COLD_LIMIT) {
        overloads += 1;
        crash();
        return;
      }
    }
  }
}

function hasDemand(durationsMs: readonly number[], atMs: number): boolean {
  const cycleMs = durationsMs.reduce((sum, durationMs) => sum + durationMs, 0);
  let leftMs = atMs % cycleMs;
  const index = durationsMs.findIndex((durationMs) => {
    leftMs -= durationMs;
    return leftMs < 0;
  });
  return index % 2 === 0;
}
