/**
 * Prints CPU time and heap bytes per event of the timeline.
 * Run it with `node --expose-gc scripts/timelineCost.mjs`, after `npm run build`.
 */
import { Timeline } from '@galenatiller/timeline';
import { systemClock, TimerService } from '@galenatiller/timer';

const CAPACITY = 20_000;
const EVENTS = 2_000_000;
const timer = TimerService.create({ clock: systemClock });

const timeline = Timeline.create({ nodeName: 'entry-1', timer, capacity: CAPACITY });
globalThis.gc();
const emptyBytes = process.memoryUsage().heapUsed;
recordEvents(CAPACITY);
globalThis.gc();
const fullBytes = process.memoryUsage().heapUsed;
const cpuBefore = process.cpuUsage();
recordEvents(EVENTS);
const cpuUsed = process.cpuUsage(cpuBefore);

console.log(`heap: ${Math.round((fullBytes - emptyBytes) / CAPACITY)} bytes per event`);
console.log(`CPU: ${Math.round(((cpuUsed.user + cpuUsed.system) * 1_000) / EVENTS)} ns per event`);
console.log(`kept: ${timeline.query({}).length} events, dropped: ${timeline.dropped}`);

/** Records events that each have their own request id string, like the ones from decoded frames. */
function recordEvents(count) {
  for (let index = 0; index < count; index += 1) {
    timeline.record({
      kind: 'stage-sent',
      requestId: `01JE${(1e12 + index).toString(36)}-0000-4000-8000`,
      subject: 'draft',
      detail: 'target writer-1',
    });
  }
}
