/** Messages of the etcd v3 JSON mapping, as far as the product uses them. */

/** A key with its value. */
export interface EtcdKeyValue {
  readonly key: string;
  readonly value: string;
  readonly create_revision: string;
  readonly mod_revision: string;
  readonly version: string;
  readonly lease: string;
}

/** A range request. */
export interface EtcdRange {
  readonly key: string;
  readonly range_end?: string;
  readonly limit?: string;
  readonly keys_only?: boolean;
}

/** A put request. */
export interface EtcdPut {
  readonly key: string;
  readonly value: string;
  readonly lease?: string;
}

/** An operation of a transaction. */
export interface EtcdOperation {
  readonly request_range?: EtcdRange;
  readonly request_put?: EtcdPut;
  readonly request_delete_range?: EtcdRange;
}

/** A comparison of a transaction; only equality of revisions is supported. */
export interface EtcdCompare {
  readonly key: string;
  readonly target: 'MOD' | 'CREATE';
  readonly mod_revision?: string;
  readonly create_revision?: string;
}

/** A transaction. */
export interface EtcdTxn {
  readonly compare?: readonly EtcdCompare[];
  readonly success?: readonly EtcdOperation[];
  readonly failure?: readonly EtcdOperation[];
}

/** A change as reported by a watch. */
export interface EtcdEvent {
  readonly type: 'PUT' | 'DELETE';
  readonly kv: EtcdKeyValue;
}

/** A watch request. */
export interface EtcdWatch {
  readonly create_request: {
    readonly key: string;
    readonly range_end: string;
    readonly start_revision: string;
  };
}

/** Response to a range request. */
export interface EtcdRangeResponse {
  readonly kvs: readonly EtcdKeyValue[];
  readonly more: boolean;
  readonly count: string;
}

/** Response to one operation of a transaction. */
export interface EtcdOperationResponse {
  readonly response_range?: EtcdRangeResponse;
  readonly response_put?: object;
  readonly response_delete_range?: { readonly deleted: string };
}

/** Response to a transaction. */
export interface EtcdTxnResponse {
  readonly succeeded: boolean;
  readonly responses: readonly EtcdOperationResponse[];
}
