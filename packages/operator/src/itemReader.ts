import type { IToken } from 'chevrotain';
import type { Maybe } from 'true-myth';

import { findNearestName } from '@galenatiller/error';
import type { ItemSyntax, RuleSyntax } from './ruleLineParser.js';
import type { LocalProblem, TextPosition } from './ruleProblem.js';
import { getTokenEnd, getTokenStart } from './ruleTokens.js';
import type { ValueFormat } from './valueFormats.js';

/** An item `NAME=VALUE`. `fallback` replaces an invalid value so that the rest of the line is still checked. */
export interface ItemOptions<Value extends string | number> {
  readonly name: string;
  readonly format: ValueFormat<Value>;
  readonly fallback: Value;
  /** Whether the item may be missing; false by default. */
  readonly isOptional?: boolean;
}

/** An item `NAME=VALUE,VALUE`. */
export interface ListItemOptions<Value extends string | number> {
  readonly name: string;
  readonly format: ValueFormat<Value>;
  readonly maxValues: number;
}

/** Reads the items of one rule line and collects all problems found in them. */
export class ItemReader {
  private readonly readNames = new Set<string>();

  private readonly problems: LocalProblem[] = [];

  private constructor(
    private readonly items: readonly ItemSyntax[],
    private readonly ruleEnd: TextPosition,
  ) {}

  /** Creates a reader for one line. */
  static create(syntax: RuleSyntax): ItemReader {
    return new ItemReader(syntax.items, syntax.end);
  }

  /** Reads one word, or returns `fallback` when it is invalid. */
  readWord<Value extends string | number>(
    token: IToken,
    format: ValueFormat<Value>,
    fallback: Value,
  ): Value {
    return this.parseWord(token, format).unwrapOr(fallback);
  }

  /** Reads an item with one value. */
  readItem<Value extends string | number>(opts: ItemOptions<Value>): Value {
    const item = this.findItem(opts.name);
    if (!item && opts.isOptional) {
      return opts.fallback;
    }
    const [value, extra] = this.listValues(item, opts);
    if (extra) {
      this.report(getTokenStart(extra), `\`${extra.image}\``, `one value for \`${opts.name}\``);
    }
    return value ? this.readWord(value, opts.format, opts.fallback) : opts.fallback;
  }

  /** Reads an item with one or more values. */
  readListItem<Value extends string | number>(opts: ListItemOptions<Value>): readonly Value[] {
    const tokens = this.listValues(this.findItem(opts.name), opts);
    const extra = tokens[opts.maxValues];
    if (extra) {
      this.report(getTokenStart(extra), `\`${extra.image}\``, `at most ${opts.maxValues} values`);
    }
    return tokens.flatMap((token) =>
      this.parseWord(token, opts.format).match({ Just: (value) => [value], Nothing: () => [] }),
    );
  }

  /** Returns whether the line has `NAME` as an item without a value. */
  readFlag(name: string): boolean {
    const item = this.findItem(name);
    const [value] = item?.values ?? [];
    if (value) {
      this.report(getTokenStart(value), `\`${value.image}\``, `\`${name}\` without a value`);
    }
    return item !== undefined;
  }

  /** Returns all problems of the line. Items that were never read are reported as unknown. */
  listProblems(): readonly LocalProblem[] {
    const unknown = this.items.filter((item) => !this.readNames.has(item.name.image));
    unknown.forEach(({ name }) => {
      const names = [...this.readNames];
      const expected = names.length === 0 ? '`# asked by NAME`' : `one of ${names.join(', ')}`;
      const nearest = findNearestName({ found: name.image, names });
      this.report(getTokenStart(name), `\`${name.image}\``, expected, nearest);
    });
    return this.problems;
  }

  private parseWord<Value extends string | number>(
    token: IToken,
    format: ValueFormat<Value>,
  ): Maybe<Value> {
    const value = format.parse(token.image);
    if (value.isNothing) {
      const found = format.isSecret ? `${token.image.length} characters` : `\`${token.image}\``;
      this.report(getTokenStart(token), found, format.expected);
    }
    return value;
  }

  private findItem(name: string): ItemSyntax | undefined {
    this.readNames.add(name);
    const [item, duplicate] = this.items.filter((each) => each.name.image === name);
    if (duplicate) {
      this.report(getTokenStart(duplicate.name), `\`${name}\` again`, `\`${name}\` once`);
    }
    return item;
  }

  private listValues(
    item: ItemSyntax | undefined,
    opts: { readonly name: string; readonly format: { readonly expected: string } },
  ): readonly IToken[] {
    if (!item || item.values.length === 0) {
      const position = item ? getTokenEnd(item.name) : this.ruleEnd;
      const found = item ? `\`${opts.name}\` without a value` : 'the end of the rule';
      this.report(position, found, `\`${opts.name}=\` with ${opts.format.expected}`);
    }
    return item?.values ?? [];
  }

  private report(position: TextPosition, found: string, expected: string, nearest = ''): void {
    this.problems.push({ ...position, found, expected, nearest });
  }
}
