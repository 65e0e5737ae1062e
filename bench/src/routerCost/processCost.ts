/** What a process has cost since its start, from the files of proc(5). */
import { readdir, readFile } from 'node:fs/promises';

/** Work that the kernel counts for a process. */
export interface ProcessCost {
  /** User and system time of all threads. */
  readonly cpuMs: number;
  /** System time alone, in ticks of 10 ms. */
  readonly systemMs: number;
  /** System calls that read from a file or socket. */
  readonly reads: number;
  /** System calls that write to a file or socket. */
  readonly writes: number;
  /** Times that the main thread went to sleep, which is about how often it woke up. */
  readonly wakeUps: number;
}

const NS_PER_MS = 1_000_000;
const MS_PER_TICK = 10;

/** Position of the system time in `stat`, counted from the field after the name of the process. */
const SYSTEM_TIME_FIELD = 12;

/** Reads the cost of a running process. */
export async function readProcessCost(pid: number): Promise<ProcessCost> {
  const [io = '', status = '', stat = ''] = await Promise.all(
    ['io', 'status', 'stat'].map((file) => readFile(`/proc/${pid}/${file}`, 'utf8')),
  );
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  return {
    cpuMs: await readCpuMs(pid),
    systemMs: Number(fields[SYSTEM_TIME_FIELD]) * MS_PER_TICK,
    reads: findNumber(io, 'syscr'),
    writes: findNumber(io, 'syscw'),
    wakeUps: findNumber(status, 'voluntary_ctxt_switches'),
  };
}

/** Subtracts the cost at an earlier time. */
export function subtractCost(after: ProcessCost, before: ProcessCost): ProcessCost {
  return combineCosts(after, before, (left, right) => left - right);
}

/** Adds up costs. */
export function sumCosts(costs: readonly ProcessCost[]): ProcessCost {
  return costs.reduce((sum, cost) => combineCosts(sum, cost, (left, right) => left + right), NONE);
}

/** Multiplies each part of a cost. */
export function scaleCost(cost: ProcessCost, factor: number): ProcessCost {
  return combineCosts(cost, NONE, (value) => value * factor);
}

const NONE: ProcessCost = { cpuMs: 0, systemMs: 0, reads: 0, writes: 0, wakeUps: 0 };

function combineCosts(
  left: ProcessCost,
  right: ProcessCost,
  combine: (left: number, right: number) => number,
): ProcessCost {
  return {
    cpuMs: combine(left.cpuMs, right.cpuMs),
    systemMs: combine(left.systemMs, right.systemMs),
    reads: combine(left.reads, right.reads),
    writes: combine(left.writes, right.writes),
    wakeUps: combine(left.wakeUps, right.wakeUps),
  };
}

/** The scheduler's count is in nanoseconds; `stat` has ticks of 10 ms. */
async function readCpuMs(pid: number): Promise<number> {
  const threads = await readdir(`/proc/${pid}/task`);
  const texts = await Promise.all(
    threads.map((thread) =>
      readFile(`/proc/${pid}/task/${thread}/schedstat`, 'utf8').catch(() => '0'),
    ),
  );
  return texts.reduce((sum, text) => sum + Number(text.split(' ')[0]), 0) / NS_PER_MS;
}

function findNumber(text: string, name: string): number {
  return Number(new RegExp(`^${name}:\\s+(\\d+)`, 'm').exec(text)?.[1] ?? 0);
}
