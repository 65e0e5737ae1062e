/** Decodes JSON response bodies of peers of any kind. */
import { GalenatillerError } from '@galenatiller/error';
import { Maybe, Result } from 'true-myth';
import { z } from 'zod';

/** Why a target refused work before starting it. */
export interface Refusal {
  readonly code: 'cold' | 'overloaded';
}

/** Options of {@link decodeJson}. */
export interface DecodeJsonOptions<Schema extends z.ZodType> {
  readonly text: string;
  readonly schema: Schema;
}

const refusalBody = z.object({ error: z.object({ code: z.enum(['cold', 'overloaded']) }) });

/** Parses and validates the JSON body of a peer that has run the work. */
export function decodeJson<Schema extends z.ZodType>(
  opts: DecodeJsonOptions<Schema>,
): Result<z.output<Schema>, GalenatillerError> {
  const json = parseJson(opts.text);
  if (json.isErr) {
    return Result.err(createInvalidBodyError(json.error));
  }
  const parsed = opts.schema.safeParse(json.value);
  return parsed.success
    ? Result.ok(parsed.data)
    : Result.err(createInvalidBodyError(z.prettifyError(parsed.error)));
}

/** Decodes the body of a refusal; returns nothing when the body is no refusal. */
export function decodeRefusal(text: string): Maybe<Refusal> {
  const refusal = decodeJson({ text, schema: refusalBody });
  return refusal.isOk ? Maybe.just(refusal.value.error) : Maybe.nothing();
}

function parseJson(text: string): Result<unknown, string> {
  try {
    return Result.ok(JSON.parse(text));
  } catch {
    return Result.err('the body is not JSON');
  }
}

function createInvalidBodyError(detail: string): GalenatillerError {
  return GalenatillerError.create({ name: 'target-failed', detail });
}
