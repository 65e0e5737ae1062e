import { type CountedWork, ScaledRouter } from './scaledRouter.js';

/** What one operation costs a router that knows so many targets and routers. */
export interface ScaleRow extends CountedWork {
  readonly operation: string;
  readonly targets: number;
  readonly routers: number;
  /** CPU time for one operation, in microseconds. */
  readonly cpuUs: number;
}

const SIZES = [
  { targets: 30, routers: 30 },
  { targets: 300, routers: 100 },
  { targets: 3_000, routers: 300 },
] as const;

/** Operations of each kind; each response of the store carries one, or all of them. */
const OPERATIONS = 200;

/** Measures the CPU time and the counted work of a router for changes and calls. */
export async function measureScale(opts: {
  readonly printProgress: (text: string) => void;
}): Promise<readonly ScaleRow[]> {
  const rows: ScaleRow[] = [];
  for (const size of SIZES) {
    opts.printProgress(`${size.targets} targets, ${size.routers} routers`);
    rows.push(...(await measureSize(size)));
  }
  return rows;
}

/** Measures one size; the work is counted in a run of its own. */
export async function measureSize(size: {
  readonly targets: number;
  readonly routers: number;
}): Promise<readonly ScaleRow[]> {
  const timed = await runOperations(size, false);
  const counted = await runOperations(size, true);
  return timed.map((row, index) => ({ ...row, ...(counted[index]?.work ?? row.work) }));
}

export interface MeasuredOperation extends Omit<ScaleRow, keyof CountedWork> {
  readonly work: CountedWork;
}

/** Runs all operations on one router, in a fixed order. */
export async function runOperations(
  size: { readonly targets: number; readonly routers: number },
  isCounting: boolean,
): Promise<readonly MeasuredOperation[]> {
  const router = await ScaledRouter.start({ ...size, isCounting });
  const indexes = Array.from({ length: OPERATIONS }, (_, index) => index);
  const added = indexes.map((index) => size.targets + index);
  const measured: MeasuredOperation[] = [];
  const measure = async (
    operation: string,
    items: readonly number[],
    run: (index: number) => Promise<unknown>,
    perRun = 1,
  ): Promise<void> => {
    const before = { ...router.work };
    let cpuUs = 0;
    for (const index of items) {
      await router.rest();
      const startedAt = process.cpuUsage();
      await run(index);
      const used = process.cpuUsage(startedAt);
      cpuUs += used.user + used.system;
    }
    const count = items.length * perRun;
    const work = subtract(router.work, before, count);
    measured.push({ operation, ...size, cpuUs: Math.round((10 * cpuUs) / count) / 10, work });
  };
  await measure('call', indexes, (index) => router.serveCall(index));
  await measure('heartbeat', indexes, (index) => router.heartbeat([index % size.targets]));
  const few = indexes.slice(0, Math.min(OPERATIONS, size.targets));
  await measure('changed slots', few, (index) => router.changeSlots(index));
  await measure('new target', added, (index) => router.addTargets([index]));
  await measure('removed target', added, (index) => router.removeTargets([index]));
  await measure('new target of many', [0], () => router.addTargets(added), OPERATIONS);
  await measure('removed target of many', [0], () => router.removeTargets(added), OPERATIONS);
  const routers = indexes.slice(0, 20).map((index) => size.routers + index);
  await measure('new router', routers, (index) => router.addRouters([index]));
  const many = indexes.slice(20, 40).map((index) => size.routers + index);
  await measure('new router of many', [0], () => router.addRouters(many), many.length);
  await router.end();
  return measured;
}

function subtract(after: CountedWork, before: CountedWork, count: number): CountedWork {
  const perOperation = (key: keyof CountedWork): number =>
    Math.round((10 * (after[key] - before[key])) / count) / 10;
  return {
    visits: perOperation('visits'),
    hashes: perOperation('hashes'),
    decodes: perOperation('decodes'),
    logCharacters: perOperation('logCharacters'),
  };
}
