import { EmbeddedActionsParser, type IToken, tokenLabel, type TokenType } from 'chevrotain';
import { Result } from 'true-myth';

import type { LocalProblem, TextPosition } from './ruleProblem.js';
import {
  Arrow,
  Comma,
  getTokenEnd,
  Equals,
  Limit,
  Move,
  On,
  Organisation,
  Route,
  RULE_TOKENS,
  Stage,
  getTokenStart,
  Word,
  Zone,
} from './ruleTokens.js';

/** `NAME=VALUE[,VALUE]`, or a bare `NAME`. */
export interface ItemSyntax {
  readonly name: IToken;
  readonly values: readonly IToken[];
}

/** What stands on the line of each kind of rule before the comment. */
export type BodySyntax =
  | { readonly kind: 'organisation' | 'limit' | 'move'; readonly name: IToken }
  | { readonly kind: 'zone'; readonly name: IToken; readonly state: IToken }
  | { readonly kind: 'route'; readonly name: IToken; readonly stages: readonly IToken[] }
  | {
      readonly kind: 'stage';
      readonly name: IToken;
      readonly work: IToken;
      readonly targetGroup: IToken;
    };

/** The words of one rule line in their places. */
export interface RuleSyntax {
  readonly body: BodySyntax;
  readonly items: readonly ItemSyntax[];
  readonly end: TextPosition;
}

/** Grammar of one line of the rules file. */
export class RuleLineParser extends EmbeddedActionsParser {
  private constructor() {
    super(RULE_TOKENS, { errorMessageProvider: EXPECTED_ONLY });
    this.performSelfAnalysis();
  }

  /** Makes a parser; one parser reads any number of lines. */
  static create(): RuleLineParser {
    return new RuleLineParser();
  }

  /** Reads the words of one line, which are at least one. */
  parseLine(words: readonly IToken[]): Result<RuleSyntax, LocalProblem> {
    this.input = [...words];
    const syntax = this.line();
    const [error] = this.errors;
    if (!error) {
      return Result.ok(syntax);
    }
    const atEnd = error.token.image === '';
    return Result.err({
      ...(atEnd ? getTokenEnd(words[words.length - 1] ?? error.token) : getTokenStart(error.token)),
      found: atEnd ? 'the end of the line' : `\`${error.token.image}\``,
      expected: error.message,
      nearest: '',
    });
  }

  private readonly item = this.RULE('item', (): ItemSyntax => {
    const name = this.CONSUME(Word);
    const values: IToken[] = [];
    this.OPTION(() => {
      this.CONSUME(Equals);
      this.AT_LEAST_ONE_SEP({ SEP: Comma, DEF: () => values.push(this.CONSUME1(Word)) });
    });
    return { name, values };
  });

  private readonly named = this.RULE('named', (): BodySyntax => {
    const kind = this.OR<'organisation' | 'limit' | 'move'>([
      {
        ALT: () => {
          this.CONSUME(Organisation);
          return 'organisation';
        },
      },
      {
        ALT: () => {
          this.CONSUME(Limit);
          return 'limit';
        },
      },
      {
        ALT: () => {
          this.CONSUME(Move);
          return 'move';
        },
      },
    ]);
    return { kind, name: this.CONSUME(Word) };
  });

  private readonly zone = this.RULE('zoneLine', (): BodySyntax => {
    this.CONSUME(Zone);
    return { kind: 'zone', name: this.CONSUME1(Word), state: this.CONSUME2(Word) };
  });

  private readonly stage = this.RULE('stageLine', (): BodySyntax => {
    this.CONSUME(Stage);
    const name = this.CONSUME1(Word);
    const work = this.CONSUME2(Word);
    this.CONSUME(On);
    return { kind: 'stage', name, work, targetGroup: this.CONSUME3(Word) };
  });

  private readonly route = this.RULE('routeLine', (): BodySyntax => {
    this.CONSUME(Route);
    const name = this.CONSUME1(Word);
    this.CONSUME(Equals);
    const stages: IToken[] = [];
    this.AT_LEAST_ONE_SEP({ SEP: Arrow, DEF: () => stages.push(this.CONSUME2(Word)) });
    return { kind: 'route', name, stages };
  });

  private readonly line = this.RULE('line', (): RuleSyntax => {
    const body = this.OR([
      { ALT: () => this.SUBRULE(this.named) },
      { ALT: () => this.SUBRULE(this.stage) },
      { ALT: () => this.SUBRULE(this.route) },
      { ALT: () => this.SUBRULE(this.zone) },
    ]);
    const items: ItemSyntax[] = [];
    this.MANY(() => items.push(this.SUBRULE(this.item)));
    return { body, items, end: getTokenEnd(this.LA(0)) };
  });
}

/** Messages that say only what was expected; the found token and its place are added later. */
const EXPECTED_ONLY = {
  buildMismatchTokenMessage: (opts: { readonly expected: TokenType }) => tokenLabel(opts.expected),
  buildNotAllInputParsedMessage: () => '`NAME=VALUE` or `# asked by NAME`',
  buildNoViableAltMessage: () => 'organisation, stage, route, limit, zone or move',
  buildEarlyExitMessage: () => tokenLabel(Word),
};
