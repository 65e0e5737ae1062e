/** Decodes the responses of the weight store. */
import type { GalenatillerError } from '@galenatiller/error';
import { decodeJson } from '@galenatiller/http';
import type { Result } from 'true-myth';
import { z } from 'zod';

import type { WeightManifest } from './weightManifest.js';

const manifestBody = z.object({
  name: z.string(),
  version: z.string(),
  sizeBytes: z.int().nonnegative(),
  digest: z.string(),
});

/** Decodes the manifest of one set of weights. */
export function decodeManifest(text: string): Result<WeightManifest, GalenatillerError> {
  return decodeJson({ text, schema: manifestBody });
}
