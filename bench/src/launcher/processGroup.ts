/** Starts child processes, watches them and ends each by its id. */
import { type ChildProcess, spawn } from 'node:child_process';
import { once } from 'node:events';
import { open, readFile } from 'node:fs/promises';
import { join } from 'node:path';

import type { TimerService } from '@galenatiller/timer';

/** Role of a process. */
export type ProcessRole = 'entry' | 'gate' | 'fakes';

/** Options of {@link ProcessGroup.start}. */
export interface StartProcessOptions {
  readonly name: string;
  readonly role: ProcessRole;
  /** Arguments of Node.js, the script first. */
  readonly args: readonly string[];
}

/** CPU time and memory of one process. */
export interface ProcessUsage {
  readonly name: string;
  readonly role: ProcessRole;
  readonly cpuMs: number;
  readonly rssBytes: number;
}

interface StartedProcess extends StartProcessOptions {
  readonly child: ChildProcess;
}

/** Options of {@link ProcessGroup.create}. */
export interface ProcessGroupOptions {
  /** Folder of the processes' logs. */
  readonly folder: string;
  readonly timer: TimerService;
}

/** Time for a graceful shutdown before a process is killed. */
const STOP_TIMEOUT_MS = 12_000;

/** Length of a clock tick in `/proc/PID/stat`. */
const MS_PER_TICK = 10;

const BYTES_PER_KB = 1_024;

/** The processes of one deployment. */
export class ProcessGroup {
  private readonly started = new Map<string, StartedProcess>();

  private constructor(private readonly opts: ProcessGroupOptions) {}

  /** Creates a group without processes. */
  static create(opts: ProcessGroupOptions): ProcessGroup {
    const group = new ProcessGroup(opts);
    process.once('exit', () => {
      group.terminateAll();
    });
    (['SIGINT', 'SIGTERM'] as const).forEach((signal) => {
      process.once(signal, () => {
        group.terminateAll();
        // `once` has removed the handler, so this signal ends the process with its default action.
        process.kill(process.pid, signal);
      });
    });
    return group;
  }

  /** Starts a process that logs to a file. A name can be reused after its process has ended. */
  async start(opts: StartProcessOptions): Promise<void> {
    const log = await open(join(this.opts.folder, `${opts.name}.log`), 'a');
    const child = spawn(process.execPath, opts.args, { stdio: ['ignore', log.fd, log.fd] });
    await log.close();
    this.started.set(opts.name, { ...opts, child });
  }

  /** Names of the processes that have exited or were killed. */
  get endedNames(): readonly string[] {
    return [...this.started.values()].filter(hasEnded).map(({ name }) => name);
  }

  /** Sends a signal to one process. */
  signal(name: string, signal: 'SIGKILL' | 'SIGTERM' | 'SIGSTOP' | 'SIGCONT'): void {
    this.started.get(name)?.child.kill(signal);
  }

  /** Restarts a process that has ended, with the same arguments. */
  async restart(name: string): Promise<void> {
    const previous = this.started.get(name);
    if (previous && hasEnded(previous)) {
      await this.start(previous);
    }
  }

  /** Shuts one process down gracefully; resolves with its exit code, or -1 when killed. */
  async stop(name: string): Promise<number> {
    const started = this.started.get(name);
    return started ? this.end(started) : 0;
  }

  /** Waits for the end of one process. */
  async waitForEnd(name: string): Promise<void> {
    const started = this.started.get(name);
    if (started && !hasEnded(started)) {
      await once(started.child, 'exit');
    }
  }

  /** Stops the nodes first, and then the fakes that they use. */
  async stopAll(): Promise<void> {
    const all = [...this.started.values()];
    for (const role of ['entry', 'gate', 'fakes'] as const) {
      await Promise.all(
        all.filter((started) => started.role === role).map((started) => this.end(started)),
      );
    }
  }

  /** Reads CPU time and memory of every running process. */
  readUsage(): Promise<readonly ProcessUsage[]> {
    const running = [...this.started.values()].filter((started) => !hasEnded(started));
    return Promise.all(running.map(readProcessUsage));
  }

  private terminateAll(): void {
    this.started.forEach(({ child }) => {
      child.kill('SIGTERM');
    });
  }

  private async end(started: StartedProcess): Promise<number> {
    const { child } = started;
    if (hasEnded(started)) {
      return child.exitCode ?? -1;
    }
    const exit = once(child, 'exit');
    const cancelKill = this.opts.timer.after({
      delayMs: STOP_TIMEOUT_MS,
      notify: () => child.kill('SIGKILL'),
    });
    // A process that was stopped by SIGSTOP handles SIGTERM only after it continues.
    child.kill('SIGCONT');
    child.kill('SIGTERM');
    await exit;
    cancelKill();
    return child.exitCode ?? -1;
  }
}

function hasEnded({ child }: StartedProcess): boolean {
  return child.exitCode !== null || child.signalCode !== null;
}

async function readProcessUsage({ name, role, child }: StartedProcess): Promise<ProcessUsage> {
  const [stat, status] = await Promise.all(
    ['stat', 'status'].map((file) => readFile(`/proc/${child.pid}/${file}`, 'utf8')),
  );
  const fields = (stat ?? '').slice((stat ?? '').lastIndexOf(')') + 2).split(' ');
  // User and system time are fields 14 and 15 of proc(5); the first two fields are cut off here.
  const ticks = Number(fields[11]) + Number(fields[12]);
  const rssKb = Number(/^VmRSS:\s+(\d+) kB$/m.exec(status ?? '')?.[1] ?? 0);
  return { name, role, cpuMs: ticks * MS_PER_TICK, rssBytes: rssKb * BYTES_PER_KB };
}
