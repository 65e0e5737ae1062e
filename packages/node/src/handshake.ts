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
  /** Keys in hex; a peer that knows any of them is accepted. */
  readonly keys: readonly string[];
  readonly timer: TimerService;
}

const NONCE_BYTES = 32;

/**
 * Authenticates both peers of a link; both run the same steps. Fails when the time limit is
 * exceeded.
 */
export async function performHandshake(
  opts: HandshakeOptions,
): Promise<Result<NodeIdentity, GalenatillerError>> {
  const cancelTimeout = opts.timer.after({
    delayMs: HANDSHAKE_TIMEOUT_MS,
    notify: () => {
      opts.link.close();
    },
  });
  try {
    return await exchangeProofs(opts);
  } catch (error) {
    return fail('frame-invalid', error instanceof Error ? error.message : 'unreadable hello frame');
  } finally {
    cancelTimeout();
  }
}

async function exchangeProofs(
  opts: HandshakeOptions,
): Promise<Result<NodeIdentity, GalenatillerError>> {
  const nonce = randomBytes(NONCE_BYTES).toString('hex');
  const ownHello: HelloFrame = {
    kind: 'hello',
    protocolVersion: NODE_PROTOCOL_VERSION,
    ...opts.identity,
    nonce,
  };
  opts.link.send(ownHello);
  const peerHello = await opts.link.next();
  if (peerHello?.kind !== 'hello') {
    return fail('link-not-proved', 'no hello frame received');
  }
  if (peerHello.protocolVersion !== NODE_PROTOCOL_VERSION) {
    return fail('protocol-mismatch', `the peer uses protocol version ${peerHello.protocolVersion}`);
  }
  const proofs = opts.keys.map((key) => createProof({ key, from: ownHello, to: peerHello }));
  opts.link.send({ kind: 'proof', proofs });
  const peerProof = await opts.link.next();
  const expectedProofs = opts.keys.map((key) =>
    createProof({ key, from: peerHello, to: ownHello }),
  );
  if (!hasValidProof(peerProof, expectedProofs)) {
    return fail('link-not-proved', `no valid proof received from ${peerHello.nodeName}`);
  }
  const { nodeName, role, availabilityZone, incarnation } = peerHello;
  return Result.ok({ nodeName, role, availabilityZone, incarnation });
}

interface CreateProofOptions {
  readonly key: string;
  readonly from: HelloFrame;
  readonly to: HelloFrame;
}

/** Includes the role of the sender, so that a proof cannot be reflected back to its sender. */
function createProof(opts: CreateProofOptions): string {
  const { from, to } = opts;
  return createHmac('sha256', Buffer.from(opts.key, 'hex'))
    .update([from.role, from.nodeName, from.incarnation, from.nonce, to.nonce].join('\n'))
    .digest('hex');
}

function hasValidProof(frame: NodeFrame | undefined, expectedProofs: readonly string[]): boolean {
  if (frame?.kind !== 'proof') {
    return false;
  }
  return frame.proofs.some((proof) =>
    expectedProofs.some((expectedProof) => isEqualInConstantTime(proof, expectedProof)),
  );
}

function isEqualInConstantTime(left: string, right: string): boolean {
  const leftBytes = Buffer.from(left);
  const rightBytes = Buffer.from(right);
  return leftBytes.length === rightBytes.length && timingSafeEqual(leftBytes, rightBytes);
}

function fail(name: ResultCodeName, detail: string): Result<never, GalenatillerError> {
  return Result.err(GalenatillerError.create({ name, detail }));
}
