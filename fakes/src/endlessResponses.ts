import type { Socket } from 'node:net';

/** A response that never ends: its start, and what is repeated after it. */
interface EndlessResponse {
  readonly start: string;
  readonly repeated: string;
}

const OK = 'HTTP/1.1 200 OK\r\n';
const CHUNKED = 'Transfer-Encoding: chunked\r\n\r\n';

/** Endless responses by the part of them that has no end; `headers` are lines of their heads. */
const ENDLESS_RESPONSES: Readonly<Record<string, (headers: string) => EndlessResponse>> = {
  head: (headers) => ({ start: `${OK}${headers}X-Odd: `, repeated: 'x' }),
  'status line': () => ({ start: 'HTTP/1.1 200 ', repeated: 'O' }),
  'row of headers': (headers) => ({ start: `${OK}${headers}`, repeated: 'X-Odd: 1\r\n' }),
  'row of informational heads': () => ({
    start: '',
    repeated: 'HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n',
  }),
  body: (headers) => ({ start: `${OK}${headers}\r\n`, repeated: 'x' }),
  'body with a length': (headers) => ({
    start: `${OK}${headers}Content-Length: 9000000000\r\n\r\n`,
    repeated: 'x',
  }),
  'body in chunks': (headers) => ({
    start: `${OK}${headers}${CHUNKED}`,
    repeated: '1\r\nx\r\n',
  }),
  'chunk extension': (headers) => ({
    start: `${OK}${headers}${CHUNKED}1\r\nx\r\n5;odd=`,
    repeated: 'x',
  }),
  'row of trailers': (headers) => ({
    start: `${OK}${headers}${CHUNKED}1\r\nx\r\n0\r\n`,
    repeated: 'X-Odd: 1\r\n',
  }),
  'row of events': (headers) => ({
    start: `${OK}${headers}Content-Type: text/event-stream\r\n${CHUNKED}`,
    repeated: '10\r\nid: 1\ndata: xx\n\n\r\n',
  }),
};

/** Options of {@link sendEndlessResponse}. */
export interface EndlessResponseOptions {
  readonly socket: Socket;
  /** The part of the response that has no end. */
  readonly part: string;
  /** Lines of the head, each with its line end. */
  readonly headers?: string;
}

/** Sends a response without end until the connection is closed; throws if the part is not known. */
export function sendEndlessResponse({ socket, part, headers = '' }: EndlessResponseOptions): void {
  const create = ENDLESS_RESPONSES[part];
  if (!create) {
    throw new Error(`no endless response has a ${part}`);
  }
  const { start, repeated } = create(headers);
  const bytes = repeated.repeat(1_000);
  const sendMore = (): void => {
    while (!socket.destroyed && socket.write(bytes)) {
      // The socket takes more bytes now.
    }
  };
  socket.on('drain', sendMore);
  socket.write(start);
  sendMore();
}
