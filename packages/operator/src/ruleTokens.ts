/** Lexer of the rules file. */
import { createToken, type IToken, Lexer, type TokenType } from 'chevrotain';
import { Result } from 'true-myth';

import type { LocalProblem, TextPosition } from './ruleProblem.js';

/** A name, value or keyword. Keywords also match as words, so that a stage can be named `stage`. */
export const Word = createToken({
  name: 'Word',
  label: 'a name',
  pattern: /[^\s#=>,]+/,
  line_breaks: false,
});

/** Comment that names who asked for the rule. */
const AskedBy = createToken({
  name: 'AskedBy',
  pattern: /#[ \t]*asked by[ \t]+\S[^\r\n]*/,
  line_breaks: false,
});

export const Equals = createToken({ name: 'Equals', label: '`=`', pattern: '=' });
export const Arrow = createToken({ name: 'Arrow', label: '`>`', pattern: '>' });
export const Comma = createToken({ name: 'Comma', label: '`,`', pattern: ',' });

export const Organisation = createKeyword('organisation');
export const Stage = createKeyword('stage');
export const Route = createKeyword('route');
export const Limit = createKeyword('limit');
export const Zone = createKeyword('zone');
export const Move = createKeyword('move');
export const On = createKeyword('on');

const Newline = createToken({ name: 'Newline', pattern: /\r\n|\r|\n/, line_breaks: true });
const Blank = createToken({
  name: 'Blank',
  pattern: /[^\S\r\n]+/,
  group: Lexer.SKIPPED,
  line_breaks: false,
});
const Comment = createToken({ name: 'Comment', pattern: /#[^\r\n]*/, line_breaks: false });

/** All token types, in the order in which the lexer tries them. */
export const RULE_TOKENS = [
  Newline,
  Blank,
  AskedBy,
  Comment,
  Equals,
  Arrow,
  Comma,
  Organisation,
  Stage,
  Route,
  Limit,
  Zone,
  Move,
  On,
  Word,
];

const LEXER = new Lexer(RULE_TOKENS);

/** Tokens of one line that contains a rule. */
export interface TokenLine {
  /** Never empty. */
  readonly tokens: readonly IToken[];
  /** Who asked for the rule, or the problem with the comment that should say so. */
  readonly askedBy: Result<string, LocalProblem>;
}

/** Splits text into the lines that contain rules. Blank lines and lines with only a comment are skipped. */
export function splitRuleLines(text: string): readonly TokenLine[] {
  const lines: TokenLine[] = [];
  let tokens: IToken[] = [];
  LEXER.tokenize(`${text}\n`).tokens.forEach((token) => {
    const { tokenType } = token;
    const last = tokens[tokens.length - 1];
    if (tokenType !== Newline && tokenType !== Comment && tokenType !== AskedBy) {
      tokens.push(token);
    } else if (last) {
      lines.push({ tokens, askedBy: readAskedBy(token, last) });
      tokens = [];
    }
  });
  return lines;
}

/** Returns the position of the first character of a token. */
export function getTokenStart(token: IToken): TextPosition {
  return { line: token.startLine ?? 1, column: token.startColumn ?? 1 };
}

/** Returns the position just after a token. */
export function getTokenEnd(token: IToken): TextPosition {
  return { line: token.startLine ?? 1, column: (token.startColumn ?? 1) + token.image.length };
}

function readAskedBy(end: IToken, last: IToken): Result<string, LocalProblem> {
  if (end.tokenType === AskedBy) {
    return Result.ok(end.image.replace(/^#[ \t]*asked by[ \t]+/, '').trimEnd());
  }
  const isComment = end.tokenType === Comment;
  return Result.err({
    ...(isComment ? getTokenStart(end) : getTokenEnd(last)),
    found: isComment ? `\`${end.image}\`` : 'the end of the line',
    expected: '`# asked by NAME`',
    nearest: '',
  });
}

function createKeyword(word: string): TokenType {
  return createToken({
    name: word,
    label: `\`${word}\``,
    pattern: word,
    longer_alt: Word,
    categories: [Word],
  });
}
