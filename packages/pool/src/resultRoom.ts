import type { TimerService } from '@galenatiller/timer';
import type { BatchLimits } from '@galenatiller/types';

/** Tells the maker of results that they are not needed any more; whether it has answered. */
export type FreeResults = (opts: {
  readonly address: string;
  readonly handles: readonly string[];
}) => Promise<boolean>;

/** Options of {@link ResultRoom.create}. */
export interface ResultRoomOptions {
  readonly timer: TimerService;
  readonly freeResults: FreeResults;
  readonly onRoom: () => void;
  /** Told of results that stay at their maker until they expire, as it could not be told. */
  readonly onNotFreed: (opts: { readonly address: string; readonly results: number }) => void;
}

/** Results of one maker, by handle. */
type HeldResults = Map<string, HeldResult>;

interface HeldResult {
  readonly bytes: number;
  readonly expiresAtMs: number;
}

/** Room that a maker lacks though nothing known here takes it; it shrinks as results expire. */
interface ForeignRoom {
  readonly bytes: number;
  readonly seenAtMs: number;
  readonly lastsMs: number;
}

/** Results that are given up within this time are freed by one call. */
const GATHER_MS = 15;

/** Counts the results that lie at stage workers, and frees them when they are not needed. */
export class ResultRoom {
  private readonly held = new Map<string, HeldResults>();

  private readonly reservedBytes = new Map<string, number>();

  private readonly foreign = new Map<string, ForeignRoom>();

  private readonly toFree = new Map<string, string[]>();

  private lostCalls = 0;

  private constructor(private readonly opts: ResultRoomOptions) {}

  /** Makes a count without results. */
  static create(opts: ResultRoomOptions): ResultRoom {
    return new ResultRoom(opts);
  }

  /** Bytes of results that a worker still has room for within this node's share of it. */
  freeBytes(opts: {
    readonly address: string;
    readonly limits: BatchLimits;
    readonly share: number;
  }): number {
    const { address, limits, share } = opts;
    const usedBytes = this.ownBytes(address) + this.foreignBytes(address);
    // A worker that holds nothing always takes one result more, however small the share is.
    return usedBytes === 0 ? limits.resultRoomBytes : limits.resultRoomBytes * share - usedBytes;
  }

  /** Counts the results of a call that is on its way. */
  reserve(address: string, bytes: number): void {
    this.reservedBytes.set(address, (this.reservedBytes.get(address) ?? 0) + bytes);
  }

  /** Ends a reservation. */
  release(address: string, bytes: number): void {
    this.reservedBytes.set(address, (this.reservedBytes.get(address) ?? 0) - bytes);
    this.opts.onRoom();
  }

  /** Notes that a worker had no room, so results of other nodes, or larger ones, fill the rest. */
  noteFull(opts: { readonly address: string; readonly limits: BatchLimits }): void {
    const { address, limits } = opts;
    this.foreign.set(address, {
      bytes: Math.max(0, limits.resultRoomBytes - this.ownBytes(address)),
      seenAtMs: this.opts.timer.nowMs(),
      lastsMs: limits.resultTtlMs,
    });
  }

  /** Counts a result that was made. */
  hold(opts: {
    readonly handle: string;
    readonly bytes: number;
    readonly limits: BatchLimits;
  }): void {
    const { handle, bytes, limits } = opts;
    const address = makerOf(handle);
    const results: HeldResults = this.held.get(address) ?? new Map<string, HeldResult>();
    results.set(handle, { bytes, expiresAtMs: this.opts.timer.nowMs() + limits.resultTtlMs });
    this.held.set(address, results);
  }

  /** Counts the results of a call whose answer was lost: the worker may have made them. */
  holdLost(opts: {
    readonly address: string;
    readonly bytes: number;
    readonly limits: BatchLimits;
  }): void {
    this.lostCalls += 1;
    this.hold({ ...opts, handle: `${opts.address}/lost-${this.lostCalls}` });
  }

  /** Frees results that nobody needs any more, also those that another node had made. */
  giveUp(handles: readonly string[]): void {
    handles.forEach((handle) => this.gather(makerOf(handle), handle));
  }

  private gather(address: string, handle: string): void {
    const gathered = this.toFree.get(address);
    if (gathered) {
      gathered.push(handle);
      return;
    }
    this.toFree.set(address, [handle]);
    this.opts.timer.after({
      delayMs: GATHER_MS,
      notify: () => {
        const handles = this.toFree.get(address) ?? [];
        this.toFree.delete(address);
        this.opts.freeResults({ address, handles }).then(
          (isFreed) => this.ended({ address, handles, isFreed }),
          () => this.ended({ address, handles, isFreed: false }),
        );
      },
    });
  }

  /** Results count until their maker has answered that they are freed, or until they expire. */
  private ended(opts: {
    readonly address: string;
    readonly handles: readonly string[];
    readonly isFreed: boolean;
  }): void {
    const { address, handles, isFreed } = opts;
    if (!isFreed) {
      this.opts.onNotFreed({ address, results: handles.length });
      return;
    }
    const results = this.held.get(address);
    handles.forEach((handle) => results?.delete(handle));
    this.opts.onRoom();
  }

  /** Bytes of what this node has made at a worker, or has on its way there. */
  private ownBytes(address: string): number {
    const nowMs = this.opts.timer.nowMs();
    const results: HeldResults = this.held.get(address) ?? new Map<string, HeldResult>();
    let bytes = this.reservedBytes.get(address) ?? 0;
    results.forEach((result, handle) => {
      if (result.expiresAtMs <= nowMs) {
        results.delete(handle);
      } else {
        bytes += result.bytes;
      }
    });
    return bytes;
  }

  /** What was foreign when it was seen ends evenly over the lifetime of a result. */
  private foreignBytes(address: string): number {
    const seen = this.foreign.get(address);
    if (!seen) {
      return 0;
    }
    const leftShare = 1 - (this.opts.timer.nowMs() - seen.seenAtMs) / seen.lastsMs;
    if (leftShare <= 0) {
      this.foreign.delete(address);
      return 0;
    }
    return seen.bytes * leftShare;
  }
}

/** IP:PORT of the worker that made a result. */
export function makerOf(handle: string): string {
  return handle.slice(0, handle.indexOf('/'));
}
