/** Encodes calls to plain services and decodes their responses. */
import type { GalenatillerError } from '@galenatiller/error';
import { decodeJson } from '@galenatiller/http';
import type { JsonValue } from '@galenatiller/types';
import type { Result } from 'true-myth';
import { z } from 'zod';

/** Encodes the body of a call. */
export function encodeCall(body: JsonValue): string {
  return JSON.stringify(body);
}

/** Decodes the response body of a call. */
export function decodeCallResponse(text: string): Result<JsonValue, GalenatillerError> {
  return decodeJson({ text, schema: z.json() });
}
