// A client of the platform: sends one request on a connection of its own and waits for its end.
import { request } from 'node:http';
import { randomBytes } from 'node:crypto';

export const newId = () => randomBytes(8).toString('hex');

/** Resolves to how the request ended: its status and body, or why it has none. */
export function send({ router, method = 'POST', path, host, id = newId(), key, timeoutMs, headers = {}, body = '', localAddress }) {
  return new Promise((resolve) => {
    const sentAtMs = Date.now();
    const chunks = [];
    let head;
    const end = (outcome) => {
      clearTimeout(timer);
      const status = head?.statusCode ?? 0;
      resolve({ id, status, headers: head?.headers ?? {}, body: Buffer.concat(chunks).toString('utf8'), outcome, sentAtMs, endedAtMs: Date.now() });
    };
    const sent = request({
      host: router.host, port: router.port, method, path, agent: false, localAddress,
      headers: {
        Host: host, 'X-Request-Id': id, 'X-Timeout-Ms': String(timeoutMs), Authorization: `Bearer ${key}`,
        'Content-Length': String(Buffer.byteLength(body)), ...headers,
      },
    }, (response) => {
      head = response;
      response.on('data', (chunk) => chunks.push(chunk));
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
