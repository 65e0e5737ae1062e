import assert from 'node:assert/strict';

import { Then, When } from '@cucumber/cucumber';
import { CountedSpan } from '@galenatiller/store';
import { RetryBudget } from '@galenatiller/target';
import { ManualClock, TimerService } from '@galenatiller/timer';

interface RestartWorld {
  requestTimesMs: readonly number[];
  retryTimesMs: readonly number[];
}

const WINDOW_MS = 10_000;
const LENGTH_MS = 30_000;
const STEP_MS = 10;
const RENEW_INTERVAL_MS = 900;
const SLACK = 102;
const RATIO = 0.2;

When(
  /^(\d+) nodes serve (\d+) requests a second, each of which wants a repeat, and ([\d.]+) of them are restarted at ([\d., ]+) s$/,
  async function when(
    this: RestartWorld,
    nodes: string,
    rate: string,
    share: string,
    times: string,
  ) {
    const clock = ManualClock.create({ startWallMs: 1_000_000 });
    const timer = TimerService.create({ clock });
    const nodeCount = Number(nodes);
    const startNode = (isFirstStart: boolean): RetryBudget => {
      const span = CountedSpan.create({
        timer,
        windowMs: WINDOW_MS,
        isFirstStart: () => isFirstStart,
      });
      span.confirm();
      timer.every({ intervalMs: RENEW_INTERVAL_MS, notify: () => span.confirm() });
      return RetryBudget.create({
        timer,
        windowMs: WINDOW_MS,
        ratio: RATIO,
        slackRetries: SLACK,
        nodeCount: () => nodeCount,
        hasWholeShare: () => span.isWhole,
      });
    };
    const budgets = Array.from({ length: nodeCount }, () => startNode(true));
    const restartsMs = times.split(',').map((time) => WINDOW_MS + Number(time) * 1_000);
    const requestTimesMs: number[] = [];
    const retryTimesMs: number[] = [];
    let requests = 0;
    await clock.advance({ byMs: WINDOW_MS });
    for (let nowMs = WINDOW_MS; nowMs < WINDOW_MS + LENGTH_MS; nowMs += STEP_MS) {
      if (restartsMs.includes(nowMs)) {
        const restarted = Math.round(Number(share) * nodeCount);
        budgets.splice(0, restarted, ...Array.from({ length: restarted }, () => startNode(false)));
      }
      while (requests < ((nowMs - WINDOW_MS) / 1_000) * Number(rate)) {
        const budget = budgets[requests % nodeCount];
        requests += 1;
        budget?.recordRequest('engine');
        requestTimesMs.push(nowMs);
        if (budget?.tryWithdraw('engine')) {
          retryTimesMs.push(nowMs);
        }
      }
      await clock.advance({ byMs: STEP_MS });
    }
    this.requestTimesMs = requestTimesMs;
    this.retryTimesMs = retryTimesMs;
  },
);

Then(
  'in no window are there more than 0.2 retries per request and 102 more',
  function then(this: RestartWorld) {
    const { requestTimesMs, retryTimesMs } = this;
    assert.equal(retryTimesMs.length > 0, true);
    const countIn = (timesMs: readonly number[], fromMs: number): number =>
      timesMs.filter((timeMs) => timeMs >= fromMs && timeMs < fromMs + WINDOW_MS).length;
    retryTimesMs.forEach((fromMs) => {
      const requests = Math.max(
        ...[0, WINDOW_MS / 2, WINDOW_MS].map((agoMs) => countIn(requestTimesMs, fromMs - agoMs)),
      );
      const retries = countIn(retryTimesMs, fromMs);
      const allowed = RATIO * requests + SLACK;
      assert.equal(retries <= allowed, true, `${retries} from ${fromMs} ms, allowed ${allowed}`);
    });
  },
);
