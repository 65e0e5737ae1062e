/** Modulus and factors of a multiplicative hash, which stays within exact integers. */
const MODULUS = 65_537;
const CHARACTER_FACTOR = 31;
const MIX_FACTOR = 40_503;

/**
 * Whether a request is delayed without regard to its size. This holds for half of all requests, chosen
 * by a hash of their id: as they are delayed last, requests of any size are served at least half as
 * often as the average. Every node and every stage chooses the same ones, so that a request that was
 * preferred at one stage is not delayed at the next.
 */
export function isSizeExempt(requestId: string): boolean {
  let hash = 1;
  for (let index = 0; index < requestId.length; index += 1) {
    hash = (hash * CHARACTER_FACTOR + requestId.charCodeAt(index)) % MODULUS;
  }
  return (hash * MIX_FACTOR) % MODULUS < MODULUS / 2;
}
