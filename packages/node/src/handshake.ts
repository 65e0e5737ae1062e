import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto';

import { HANDSHAKE_TIMEOUT_MS, NODE_PROTOCOL_VERSION } from '@galenatiller/constants';
import { GalenatillerError, type ResultCodeName } from '@galenatiller/error';
import type { TimerService } from '@galenatiller/timer';
import { Result } from 'true-myth';

import type { HelloFrame, NodeFrame, NodeIdentity } from './frames.js';
import type { Link } from './link.js';

/** Options of {@link performHandshake}. */
export interface HandshakeOptions {
  readonly link: Link;
  readonly identity: NodeIdentity;
  /** Hex keys; a peer that knows any of them is let in. */
  readonly keys: readonly string[];
  readonly timer: TimerService;
}

const NONCE_BYTES = 32;

/** Exchanges greetings and proofs; both sides do the same steps. Fails within the time limit. */
export async function performHandshake(
  opts: HandshakeOptions,
): Promise<Result<NodeIdentity, GalenatillerError>> {
  const cancelLimit = opts.timer.after({
    delayMs: HANDSHAKE_TIMEOUT_MS,
    notify: () => {
      opts.link.close();
    },
  });
  try {
    return await exchange(opts);
  } catch (error) {
    return refuse('frame-invalid', error instanceof Error ? error.message : 'unreadable greeting');
  } finally {
    cancelLimit();
  }
}

async function exchange(opts: HandshakeOptions): Promise<Result<NodeIdentity, GalenatillerError>> {
  const nonce = randomBytes(NONCE_BYTES).toString('hex');
  const own: HelloFrame = {
    kind: 'hello',
    protocolVersion: NODE_PROTOCOL_VERSION,
    ...opts.identity,
    nonce,
  };
  opts.link.send(own);
  const theirs = await opts.link.next();
  if (theirs?.kind !== 'hello') {
    return refuse('link-not-proved', 'no greeting');
  }
  if (theirs.protocolVersion !== NODE_PROTOCOL_VERSION) {
    return refuse('protocol-mismatch', `peer has version ${theirs.protocolVersion}`);
  }
  const proofs = opts.keys.map((key) => prove({ key, from: own, to: theirs }));
  opts.link.send({ kind: 'proof', proofs });
  const answer = await opts.link.next();
  const expected = opts.keys.map((key) => prove({ key, from: theirs, to: own }));
  if (!isProved(answer, expected)) {
    return refuse('link-not-proved', `no valid proof from ${theirs.nodeName}`);
  }
  const { nodeName, role, availabilityZone, incarnation } = theirs;
  return Result.ok({ nodeName, role, availabilityZone, incarnation });
}

interface ProveOptions {
  readonly key: string;
  readonly from: HelloFrame;
  readonly to: HelloFrame;
}

/** The role is part of the proof, so that a proof cannot be sent back to its maker. */
function prove(opts: ProveOptions): string {
  const { from, to } = opts;
  return createHmac('sha256', Buffer.from(opts.key, 'hex'))
    .update([from.role, from.nodeName, from.incarnation, from.nonce, to.nonce].join('\n'))
    .digest('hex');
}

function isProved(answer: NodeFrame | undefined, expected: readonly string[]): boolean {
  if (answer?.kind !== 'proof') {
    return false;
  }
  return answer.proofs.some((proof) => expected.some((wanted) => isEqual(proof, wanted)));
}

function isEqual(left: string, right: string): boolean {
  const leftBytes = Buffer.from(left);
  const rightBytes = Buffer.from(right);
  return leftBytes.length === rightBytes.length && timingSafeEqual(leftBytes, rightBytes);
}

function refuse(name: ResultCodeName, detail: string): Result<never, GalenatillerError> {
  return Result.err(GalenatillerError.create({ name, detail }));
}
