/** What a caller has received of one answer, as it comes in. */
export class ReceivedResponse {
  /** Id in the headers of the response. */
  requestId = '';

  /** Id in the body of the response. */
  bodyRequestId = '';

  /** Text or receipt so far. */
  text = '';

  /** Time until the first piece of a stream; -1 when there was none. */
  firstTokenMs = -1;

  /** Times between pieces of a stream. */
  readonly tokenGapsMs: number[] = [];

  private lastChunkMs = 0;

  private constructor() {}

  /** Makes an answer of which nothing has come. */
  static create(): ReceivedResponse {
    return new ReceivedResponse();
  }

  /** Takes the id in the headers. */
  recordHead(requestId: string): void {
    this.requestId = requestId;
  }

  /** Takes a whole body, or a problem, whose text is empty. */
  recordBody(requestId: string, text: string): void {
    this.bodyRequestId = requestId;
    this.text += text;
  }

  /** Takes a piece of a stream at a time since the issue. */
  recordChunk(requestId: string, text: string, atMs: number): void {
    this.recordBody(requestId, text);
    if (text === '') {
      return;
    }
    if (this.firstTokenMs < 0) {
      this.firstTokenMs = atMs;
    } else {
      this.tokenGapsMs.push(atMs - this.lastChunkMs);
    }
    this.lastChunkMs = atMs;
  }
}
