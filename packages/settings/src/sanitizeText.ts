const MAX_SHOWN_LENGTH = 60;
const HIDDEN = '(hidden)';
/** A pasted key may stand anywhere in a broken file, so long hex is never shown. */
const SECRET = /[0-9a-f]{16,}/gi;
const USER_INFO = /\/\/[^/@]*@/g;

/** Text of the file made fit to print: secrets hidden, control characters out, length bounded. */
export function sanitizeText(text: string): string {
  const shown = text
    .replace(SECRET, HIDDEN)
    .replace(USER_INFO, `//${HIDDEN}@`)
    .replace(/\p{C}/gu, '?');
  return shown.length > MAX_SHOWN_LENGTH ? `${shown.slice(0, MAX_SHOWN_LENGTH)}…` : shown;
}
