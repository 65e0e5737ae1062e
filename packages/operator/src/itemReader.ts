import type { IToken } from 'chevrotain';
import type { Maybe } from 'true-myth';

import { findNearestName } from '@galenatiller/error';
import type { ItemSyntax, RuleSyntax } from './ruleLineParser.js';
import type { LocalProblem, TextPosition } from './ruleProblem.js';
import { endOf, startOf } from './ruleTokens.js';
import type { ValueForm } from './ruleValues.js';

/** An item `NAME=VALUE`; `fallback` stands in for a bad value so that reading goes on. */
export interface ItemOptions<Value extends string | number> {
  readonly name: string;
  readonly form: ValueForm<Value>;
  readonly fallback: Value;
  /** Without it the item must be there. */
  readonly optional?: boolean;
}

/** An item `NAME=VALUE,VALUE`. */
export interface ManyItemOptions<Value extends string | number> {
  readonly name: string;
  readonly form: ValueForm<Value>;
  readonly max: number;
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
  word<Value extends string | number>(
    token: IToken,
    form: ValueForm<Value>,
    fallback: Value,
  ): Value {
    return this.read(token, form).unwrapOr(fallback);
  }

  /** Reads an item with one value. */
  one<Value extends string | number>(opts: ItemOptions<Value>): Value {
    const item = this.find(opts.name);
    if (!item && opts.optional) {
      return opts.fallback;
    }
    const [value, extra] = this.valuesOf(item, opts);
    if (extra) {
      this.report(startOf(extra), `\`${extra.image}\``, `one value for \`${opts.name}\``);
    }
    return value ? this.word(value, opts.form, opts.fallback) : opts.fallback;
  }

  /** Reads an item with one or more values. */
  many<Value extends string | number>(opts: ManyItemOptions<Value>): readonly Value[] {
    const tokens = this.valuesOf(this.find(opts.name), opts);
    const extra = tokens[opts.max];
    if (extra) {
      this.report(startOf(extra), `\`${extra.image}\``, `at most ${opts.max} values`);
    }
    return tokens.flatMap((token) =>
      this.read(token, opts.form).match({ Just: (value) => [value], Nothing: () => [] }),
    );
  }

  /** Whether a bare `NAME` is there. */
  flag(name: string): boolean {
    const item = this.find(name);
    const [value] = item?.values ?? [];
    if (value) {
      this.report(startOf(value), `\`${value.image}\``, `\`${name}\` without a value`);
    }
    return item !== undefined;
  }

  /** Every problem of the line, with the items that nothing asked for. */
  finish(): readonly LocalProblem[] {
    const unknown = this.items.filter((item) => !this.knownNames.has(item.name.image));
    unknown.forEach(({ name }) => {
      const names = [...this.knownNames];
      const expected = names.length === 0 ? '`# asked by NAME`' : `one of ${names.join(', ')}`;
      const nearest = findNearestName({ found: name.image, names });
      this.report(startOf(name), `\`${name.image}\``, expected, nearest);
    });
    return this.problems;
  }

  private read<Value extends string | number>(token: IToken, form: ValueForm<Value>): Maybe<Value> {
    const value = form.read(token.image);
    if (value.isNothing) {
      const found = form.secret ? `${token.image.length} characters` : `\`${token.image}\``;
      this.report(startOf(token), found, form.expected);
    }
    return value;
  }

  private find(name: string): ItemSyntax | undefined {
    this.knownNames.add(name);
    const [item, again] = this.items.filter((each) => each.name.image === name);
    if (again) {
      this.report(startOf(again.name), `\`${name}\` again`, `\`${name}\` once`);
    }
    return item;
  }

  private valuesOf(
    item: ItemSyntax | undefined,
    opts: { readonly name: string; readonly form: { readonly expected: string } },
  ): readonly IToken[] {
    if (!item || item.values.length === 0) {
      const position = item ? endOf(item.name) : this.ruleEnd;
      const found = item ? `\`${opts.name}\` without a value` : 'the end of the rule';
      this.report(position, found, `\`${opts.name}=\` with ${opts.form.expected}`);
    }
    return item?.values ?? [];
  }

  private report(position: TextPosition, found: string, expected: string, nearest = ''): void {
    this.problems.push({ ...position, found, expected, nearest });
  }
}
