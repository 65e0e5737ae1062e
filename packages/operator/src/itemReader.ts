import type { IToken } from 'chevrotain';
import type { Maybe } from 'true-myth';

import { findNearestName } from '@galenatiller/error';
import type { ItemSyntax, RuleSyntax } from './ruleLineParser.js';
import type { LocalProblem, TextPosition } from './ruleProblem.js';
import { getTokenEnd, getTokenStart } from './ruleTokens.js';
import type { ValueFormat } from './valueFormats.js';

/** An item `NAME=VALUE`; `fallback` stands in for a bad value so that reading goes on. */
export interface ItemOptions<Value extends string | number> {
  readonly name: string;
  readonly format: ValueFormat<Value>;
  readonly fallback: Value;
  /** Without it the item must be there. */
  readonly isOptional?: boolean;
}

/** An item `NAME=VALUE,VALUE`. */
export interface ListItemOptions<Value extends string | number> {
  readonly name: string;
  readonly format: ValueFormat<Value>;
  readonly maxValues: number;
}

/** Reads the items of one rule line and collects every problem with them. */
export class ItemReader {
  private readonly knownNames = new Set<string>();

  private readonly problems: LocalProblem[] = [];

  private constructor(
    private readonly items: readonly ItemSyntax[],
    private readonly ruleEnd: TextPosition,
  ) {}

  /** Makes a reader of one line. */
  static create(syntax: RuleSyntax): ItemReader {
    return new ItemReader(syntax.items, syntax.end);
  }

  /** Reads one word; `fallback` when it is bad. */
  readWord<Value extends string | number>(
    token: IToken,
    form: ValueFormat<Value>,
    fallback: Value,
  ): Value {
    return this.read(token, form).unwrapOr(fallback);
  }

  /** Reads an item with one value. */
  readItem<Value extends string | number>(opts: ItemOptions<Value>): Value {
    const item = this.find(opts.name);
    if (!item && opts.isOptional) {
      return opts.fallback;
    }
    const [value, extra] = this.valuesOf(item, opts);
    if (extra) {
      this.report(getTokenStart(extra), `\`${extra.image}\``, `one value for \`${opts.name}\``);
    }
    return value ? this.readWord(value, opts.format, opts.fallback) : opts.fallback;
  }

  /** Reads an item with one or more values. */
  readListItem<Value extends string | number>(opts: ListItemOptions<Value>): readonly Value[] {
    const tokens = this.valuesOf(this.find(opts.name), opts);
    const extra = tokens[opts.maxValues];
    if (extra) {
      this.report(getTokenStart(extra), `\`${extra.image}\``, `at most ${opts.maxValues} values`);
    }
    return tokens.flatMap((token) =>
      this.read(token, opts.format).match({ Just: (value) => [value], Nothing: () => [] }),
    );
  }

  /** Whether a bare `NAME` is there. */
  readFlag(name: string): boolean {
    const item = this.find(name);
    const [value] = item?.values ?? [];
    if (value) {
      this.report(getTokenStart(value), `\`${value.image}\``, `\`${name}\` without a value`);
    }
    return item !== undefined;
  }

  /** Every problem of the line, with the items that nothing asked for. */
  listProblems(): readonly LocalProblem[] {
    const unknown = this.items.filter((item) => !this.knownNames.has(item.name.image));
    unknown.forEach(({ name }) => {
      const names = [...this.knownNames];
      const expected = names.length === 0 ? '`# asked by NAME`' : `one of ${names.join(', ')}`;
      const nearest = findNearestName({ found: name.image, names });
      this.report(getTokenStart(name), `\`${name.image}\``, expected, nearest);
    });
    return this.problems;
  }

  private read<Value extends string | number>(
    token: IToken,
    form: ValueFormat<Value>,
  ): Maybe<Value> {
    const value = form.parse(token.image);
    if (value.isNothing) {
      const found = form.isSecret ? `${token.image.length} characters` : `\`${token.image}\``;
      this.report(getTokenStart(token), found, form.expected);
    }
    return value;
  }

  private find(name: string): ItemSyntax | undefined {
    this.knownNames.add(name);
    const [item, again] = this.items.filter((each) => each.name.image === name);
    if (again) {
      this.report(getTokenStart(again.name), `\`${name}\` again`, `\`${name}\` once`);
    }
    return item;
  }

  private valuesOf(
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
