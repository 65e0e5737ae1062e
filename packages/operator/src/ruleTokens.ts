/** Tokens of the rules file. */
import { createToken, type IToken, Lexer, type TokenType } from 'chevrotain';
import { Result } from 'true-myth';

import type { LocalProblem, TextPosition } from './ruleProblem.js';

/** A name, a value or a keyword; keywords are words too, so that a stage may be named `stage`. */
export const Word = createToken({
  name: 'Word',
  label: 'a name',
  pattern: /[^\s#=>,]+/,
  line_breaks: false,
});

/** Comment that says who asked for the rule. */
const AskedBy = createToken({
  name: 'AskedBy',
  pattern: /#[ \t]*asked by[ \t]+\S[^\r\n]*/,
  line_breaks: false,
});

export const Equals = createToken({ name: 'Equals', label: '`=`', pattern: '=' });
export const Arrow = createToken({ name: 'Arrow', label: '`>`', pattern: '>' });
export const Comma = createToken({ name: 'Comma', label: '`,`', pattern: ',' });

export const Organisation = keyword('organisation');
export const Stage = keyword('stage');
export const Route = keyword('route');
export const Limit = keyword('limit');
export const Zone = keyword('zone');
export const Move = keyword('move');
export const On = keyword('on');

const Newline = createToken({ name: 'Newline', pattern: /\r\n|\r|\n/, line_breaks: true });
const Blank = createToken({
  name: 'Blank',
  pattern: /[^\S\r\n]+/,
  group: Lexer.SKIPPED,
  line_breaks: false,
});
const Comment = createToken({ name: 'Comment', pattern: /#[^\r\n]*/, line_breaks: false });

/** Every token type, in the order in which the lexer tries them. */
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

/** One line that holds a rule. */
export interface TokenLine {
  /** Never empty. */
  readonly tokens: readonly IToken[];
  /** Who asked for the rule, or what is wrong with the end of the line. */
  readonly askedBy: Result<string, LocalProblem>;
}

/** The lines that hold rules; blank lines and whole-line comments are left out. */
export function splitRuleLines(text: string): readonly TokenLine[] {
  const lines: TokenLine[] = [];
  let words: IToken[] = [];
  LEXER.tokenize(`${text}\n`).tokens.forEach((token) => {
    const { tokenType } = token;
    const last = words[words.length - 1];
    if (tokenType !== Newline && tokenType !== Comment && tokenType !== AskedBy) {
      words.push(token);
    } else if (last) {
      lines.push({ tokens: words, askedBy: readAskedBy(token, last) });
      words = [];
    }
  });
  return lines;
}

/** Where a token starts. */
export function getTokenStart(token: IToken): TextPosition {
  return { line: token.startLine ?? 1, column: token.startColumn ?? 1 };
}

/** The place just after a token. */
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

function keyword(word: string): TokenType {
  return createToken({
    name: word,
    label: `\`${word}\``,
    pattern: word,
    longer_alt: Word,
    categories: [Word],
  });
}
