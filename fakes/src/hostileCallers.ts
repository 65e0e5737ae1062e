/** Callers that keep no limits: each sends as much as it can in one form, and keeps its connection open. */
import { connect, type Socket } from 'node:net';

/** What a hostile caller sends. */
export type HostileForm =
  | 'large chunks'
  | 'small chunks'
  | 'a length without its last byte'
  | 'an announced body over the limit'
  | 'a body over the limit'
  | 'requests without reading'
  | 'requests without id and time limit'
  | 'requests without headers'
  | 'requests for large answers without reading'
  | 'requests for streams without reading'
  | 'heads without end'
  | 'slow heads'
  | 'slow bodies'
  | 'nothing';

/** Options of {@link HostileCallers.start}. */
export interface HostileCallersOptions {
  readonly port: number;
  /** Forms that the callers take in turn. */
  readonly forms: readonly HostileForm[];
  readonly callers: number;
  /** Path of a route, and those with large answers and with streams. */
  readonly path: string;
  readonly largePath: string;
  readonly streamPath: string;
  /** Lines that each request needs, such as host and key. */
  readonly headers: readonly string[];
  /** Lines of id and time limit. */
  readonly usualHeaders: readonly string[];
  /** Body of a small request. */
  readonly body: string;
  /** Body of a request for a large answer. */
  readonly largeBody: string;
  readonly maxBodyBytes: number;
}

/** What is sent on a connection: a start, a repeated part and an end. */
interface Sent {
  readonly start: string;
  readonly repeated: string;
  readonly count: number;
  readonly end: string;
  /** Time between two parts; 0 sends as fast as the connection takes them. */
  readonly pauseMs: number;
}

const CHUNK_BYTES = 65_536;
const FLOOD_BYTES = 33_554_432;
const SMALL_CHUNKS = 40_000;
const PIPELINED = 3_000;
const LARGE_ANSWERS = 12;
const HEAD_LINES = 5_000;
const SLOW_PAUSE_MS = 200;

/** How often a caller opens its connection again after it was closed. */
const MAX_REOPENED = 2;

const encodeChunk = (bytes: number): string => `${bytes.toString(16)}\r\n${'x'.repeat(bytes)}\r\n`;

const CREATE_SENT: Readonly<Record<HostileForm, (opts: HostileCallersOptions) => Partial<Sent>>> = {
  'large chunks': (opts) => ({
    start: createHead(opts, ['Transfer-Encoding: chunked']),
    repeated: encodeChunk(CHUNK_BYTES),
    count: opts.maxBodyBytes / CHUNK_BYTES - 1,
    end: encodeChunk(CHUNK_BYTES - 1),
  }),
  'small chunks': (opts) => ({
    start: createHead(opts, ['Transfer-Encoding: chunked']),
    repeated: encodeChunk(1).repeat(1_000),
    count: SMALL_CHUNKS / 1_000,
  }),
  'a length without its last byte': (opts) => ({
    start: createHead(opts, [`Content-Length: ${opts.maxBodyBytes}`]),
    repeated: 'x'.repeat(CHUNK_BYTES),
    count: opts.maxBodyBytes / CHUNK_BYTES - 1,
    end: 'x'.repeat(CHUNK_BYTES - 1),
  }),
  'an announced body over the limit': (opts) => ({
    start: createHead(opts, ['Content-Length: 9000000000']),
    repeated: 'x'.repeat(CHUNK_BYTES),
    count: FLOOD_BYTES / CHUNK_BYTES,
  }),
  'a body over the limit': (opts) => ({
    start: createHead(opts, ['Transfer-Encoding: chunked']),
    repeated: encodeChunk(CHUNK_BYTES),
    count: FLOOD_BYTES / CHUNK_BYTES,
  }),
  'requests without reading': (opts) => ({ repeated: createRequest(opts), count: PIPELINED }),
  'requests without id and time limit': (opts) => ({
    repeated: createRequest({ ...opts, usualHeaders: [] }),
    count: PIPELINED,
  }),
  'requests without headers': (opts) => ({
    repeated: `GET ${opts.path} HTTP/1.0\r\nConnection: keep-alive\r\n\r\n`,
    count: PIPELINED,
  }),
  'requests for large answers without reading': (opts) => ({
    repeated: createRequest({ ...opts, path: opts.largePath, body: opts.largeBody }),
    count: LARGE_ANSWERS,
  }),
  'requests for streams without reading': (opts) => ({
    repeated: createRequest({ ...opts, path: opts.streamPath }),
    count: LARGE_ANSWERS,
  }),
  'heads without end': (opts) => ({
    start: `POST ${opts.path} HTTP/1.1\r\n`,
    repeated: 'X-Odd: 1\r\n'.repeat(HEAD_LINES),
    count: 1,
  }),
  'slow heads': (opts) => ({
    start: `POST ${opts.path} HTTP/1.1\r\n`,
    repeated: `X-Odd: ${'x'.repeat(1_000)}\r\n`,
    count: 60,
    pauseMs: SLOW_PAUSE_MS,
  }),
  'slow bodies': (opts) => ({
    start: createHead(opts, [`Content-Length: ${opts.maxBodyBytes}`]),
    repeated: 'x'.repeat(1_000),
    count: 60,
    pauseMs: SLOW_PAUSE_MS,
  }),
  nothing: () => ({}),
};

function createHead(opts: HostileCallersOptions, lines: readonly string[]): string {
  const all = [`POST ${opts.path} HTTP/1.1`, ...opts.headers, ...opts.usualHeaders, ...lines];
  return `${all.join('\r\n')}\r\n\r\n`;
}

function createRequest(opts: HostileCallersOptions): string {
  return `${createHead(opts, [`Content-Length: ${opts.body.length}`])}${opts.body}`;
}

/** A crowd of hostile callers in this process. */
export class HostileCallers {
  private readonly sockets = new Set<Socket>();

  private isClosed = false;

  /** Resolves when each caller has sent all it has, or gave up. */
  readonly sent: Promise<void>;

  private constructor(private readonly opts: HostileCallersOptions) {
    const { forms, callers } = opts;
    this.sent = Promise.all(
      Array.from({ length: callers }, (_, index) =>
        this.run(forms[index % forms.length] ?? 'nothing'),
      ),
    ).then(() => {});
  }

  /** Starts all callers at once. */
  static start(opts: HostileCallersOptions): HostileCallers {
    return new HostileCallers(opts);
  }

  /** Closes all connections. */
  close(): void {
    this.isClosed = true;
    this.sockets.forEach((socket) => socket.destroy());
  }

  private async run(form: HostileForm): Promise<void> {
    const sent = { start: '', repeated: '', count: 0, end: '', pauseMs: 0 };
    const parts = { ...sent, ...CREATE_SENT[form](this.opts) };
    for (let opened = 0; opened <= MAX_REOPENED && !this.isClosed; opened += 1) {
      if (await this.send(parts, form)) {
        return;
      }
    }
  }

  /** Sends everything on a new connection; resolves to whether it was still open at the end. */
  private async send(parts: Sent, form: HostileForm): Promise<boolean> {
    const socket = connect({ host: '127.0.0.1', port: this.opts.port });
    this.sockets.add(socket);
    socket.on('error', () => {});
    socket.once('close', () => this.sockets.delete(socket));
    if (form.startsWith('requests')) {
      socket.pause();
    } else {
      socket.resume();
    }
    await write(socket, parts.start);
    const repeated = Buffer.from(parts.repeated);
    for (let index = 0; index < parts.count && !socket.destroyed; index += 1) {
      await write(socket, repeated);
      if (parts.pauseMs > 0) {
        await new Promise((resolve) => {
          setTimeout(resolve, parts.pauseMs);
        });
      }
    }
    await write(socket, parts.end);
    return !socket.destroyed;
  }
}

/** Resolves when the socket takes more, or has closed. */
async function write(socket: Socket, data: string | Buffer): Promise<void> {
  if (data.length === 0 || socket.destroyed || socket.write(data)) {
    return;
  }
  await new Promise<void>((resolve) => {
    const proceed = (): void => {
      socket.off('drain', proceed);
      socket.off('close', proceed);
      resolve();
    };
    socket.once('drain', proceed);
    socket.once('close', proceed);
  });
}
