/** A JSON value as defined by RFC 8259. */
export type JsonValue =
  null | boolean | number | string | readonly JsonValue[] | { readonly [name: string]: JsonValue };
