const MAX_PRINTED_LENGTH = 60;
const REDACTED = '(hidden)';
/** Long hex strings are never shown: in a malformed file, a pasted key can be anywhere. */
const SECRET = /[0-9a-f]{16,}/gi;
const USER_INFO = /\/\/[^/@]*@/g;

/**
 * Makes text of a settings file safe to print: redacts secrets, replaces control characters,
 * truncates.
 */
export function sanitizeText(text: string): string {
  const sanitized = text
    .replace(SECRET, REDACTED)
    .replace(USER_INFO, `//${REDACTED}@`)
    .replace(/\p{C}/gu, '?');
  return sanitized.length > MAX_PRINTED_LENGTH
    ? `${sanitized.slice(0, MAX_PRINTED_LENGTH)}…`
    : sanitized;
}
