import type { RoutedCall } from '@galenatiller/types';

/** Options of {@link computeFingerprints}. */
export interface ComputeFingerprintsOptions {
  readonly call: RoutedCall;
  readonly organisation: string;
  readonly body: Buffer;
  readonly hash: (text: string) => number;
}

/** The fingerprints of a call without that of its content. */
export function getSharedFingerprints(fingerprints: readonly string[]): readonly string[] {
  return fingerprints.slice(1);
}

/**
 * Computes the fingerprints of a call that other calls may have too: that of its content, and those of
 * the parts of its prompt without the last one, which is its own.
 */
export function computeFingerprints(opts: ComputeFingerprintsOptions): readonly string[] {
  const { call, organisation, body, hash } = opts;
  const bodyHash = hash(body.toString('latin1'));
  const content = `call ${organisation} ${call.method} ${call.path} ${body.length} ${bodyHash}`;
  return [content, ...call.promptParts.slice(0, -1).map(({ id }) => `part ${id}`)];
}
