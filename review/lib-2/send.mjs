// A client of the platform: sends one request on a connection of its own and waits for its end.
import { request } from 'node:http';
import { randomBytes } from 'node:crypto';

export const newId = () => randomBytes(8).toString('hex');

const createHeaders = ({ host, id, timeoutMs, key, body, headers }) => ({
  Host: host,
  'X-Request-Id': id,
  'X-Timeout-Ms': String(timeoutMs),
  Authorization: `Bearer ${key}`,
  'Content-Length': String(Buffer.byteLength(body)),
  ...headers,
});

/** Resolves to how the request ended: its status and headers, or why it has none. */
export function send({ router, path, id = newId(), timeoutMs, body = '', ...more }) {
  return new Promise((resolve) => {
    const sentAtMs = Date.now();
    let head;
    const end = (outcome) => {
      clearTimeout(timer);
      const status = head?.statusCode ?? 0;
      resolve({ id, status, headers: head?.headers ?? {}, outcome, sentAtMs });
    };
    const headers = createHeaders({ ...more, id, timeoutMs, body });
    const { host, port } = router;
    const sent = request({ host, port, method: 'POST', path, agent: false, headers });
    sent.once('response', (response) => {
      head = response;
      response.resume();
      response.once('end', () => end(response.complete ? 'whole' : 'cut'));
      response.once('error', () => end('cut'));
    });
    const timer = setTimeout(() => {
      sent.destroy();
      end('no answer in time');
    }, timeoutMs + 500);
    sent.on('error', (error) => end(error.code ?? 'failed'));
    sent.end(body);
  });
}
