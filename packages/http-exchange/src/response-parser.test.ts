import {IncomingMessage, ServerResponse} from 'node:http';
import {Socket} from 'node:net';
import {
  createByteAccumulator,
  createReceiveBudget,
} from '@siskinplank/receive-buffers';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import type {ResponseHead} from './response-head';
import {MAX_HEAD_BYTES, createResponseParser} from './response-parser';

interface Parsed {
  statuses: number[];
  bodies: string[];
  ended: number;
  problem: string | undefined;
}

/** Parses `text` in chunks that end at the offsets in `cuts`. */
function parseText(
  text: string,
  cuts: readonly number[] = [],
  observeHead: (head: ResponseHead) => void = () => undefined,
): Parsed {
  const parsed: Parsed = {
    statuses: [],
    bodies: [],
    ended: 0,
    problem: undefined,
  };
  const parser = createResponseParser({
    headBytes: createByteAccumulator({
      maxBytes: MAX_HEAD_BYTES,
      reservation: createReceiveBudget({maxBytes: MAX_HEAD_BYTES}).open(
        'upstream',
        () => undefined,
      ),
    }),
    isHeadRequest: () => false,
    sink: {
      onHead: head => {
        observeHead(head);
        parsed.statuses.push(head.status);
        parsed.bodies.push('');
      },
      onBody: chunk => {
        parsed.bodies[parsed.bodies.length - 1] += chunk.toString('latin1');
      },
      onEnd: () => {
        parsed.ended += 1;
      },
    },
  });
  const bytes = Buffer.from(text, 'latin1');
  const ends = [...cuts.filter(cut => cut < bytes.length), bytes.length];
  let start = 0;
  for (const end of ends.sort((left, right) => left - right)) {
    let rest = bytes.subarray(start, end);
    start = end;
    while (rest.length > 0) {
      const read = parser.execute(rest);
      if (read.isLeft()) {
        parsed.problem = String(read.extract());
        return parsed;
      }
      rest = rest.subarray(read.unsafeCoerce());
    }
  }
  return parsed;
}

const CHUNKED =
  'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n' +
  '5\r\nhello\r\n6;x=1\r\n world\r\n0\r\nTrailer: t\r\n\r\n';
const FIXED = 'HTTP/1.1 404 Not Found\r\nContent-Length: 4\r\n\r\ngone';

describe('response parser', () => {
  it('parses the same responses for any split of the bytes', () => {
    const text = CHUNKED + FIXED + 'HTTP/1.1 204 No Content\r\n\r\n' + CHUNKED;
    const whole = parseText(text);
    expect(whole).toMatchObject({
      statuses: [200, 404, 204, 200],
      bodies: ['hello world', 'gone', '', 'hello world'],
      ended: 4,
    });
    fc.assert(
      fc.property(fc.array(fc.nat(text.length), {maxLength: 30}), cuts => {
        expect(parseText(text, cuts)).toEqual(whole);
      }),
    );
  });

  it('skips interim responses', () => {
    const parsed = parseText(`HTTP/1.1 100 Continue\r\n\r\n${FIXED}`);
    expect(parsed).toMatchObject({statuses: [404], ended: 1});
  });

  it.each([
    [
      'a length and a transfer coding',
      'Content-Length: 3\r\nTransfer-Encoding: chunked',
    ],
    ['two lengths', 'Content-Length: 3\r\nContent-Length: 4'],
    ['a malformed length', 'Content-Length: 3x'],
    ['another transfer coding', 'Transfer-Encoding: gzip, chunked'],
    ['a space before the colon', 'Content-Length : 3'],
  ])('refuses %s', (_name, headers) => {
    const parsed = parseText(`HTTP/1.1 200 OK\r\n${headers}\r\n\r\nabc`);
    expect(parsed.problem).toBeDefined();
  });

  // Node.js throws for most of these when they are passed on to the caller, which
  // would end the process; a caller would take the others for an answer.
  it.each([
    ['a status below 100', 'HTTP/1.1 000 OK\r\nA: b'],
    ['a status of leading zeros', 'HTTP/1.1 099 OK\r\nA: b'],
    ['a status above 599', 'HTTP/1.1 600 OK\r\nA: b'],
    ['the largest status of three digits', 'HTTP/1.1 999 OK\r\nA: b'],
    ['an upgrade that was not asked for', 'HTTP/1.1 101 OK\r\nA: b'],
    ['a status of two digits', 'HTTP/1.1 20 OK\r\nA: b'],
    ['a status of four digits', 'HTTP/1.1 2000 OK\r\nA: b'],
    ['a status with a sign', 'HTTP/1.1 +20 OK\r\nA: b'],
    ['a status of letters', 'HTTP/1.1 abc OK\r\nA: b'],
    ['two spaces before the status', 'HTTP/1.1  200 OK\r\nA: b'],
    ['no status', 'HTTP/1.1 \r\nA: b'],
    ['a control character in a value', 'HTTP/1.1 200 OK\r\nA: b\x01c'],
    ['a delete character in a value', 'HTTP/1.1 200 OK\r\nA: b\x7fc'],
    ['a control character in the reason', 'HTTP/1.1 200 O\x1bK\r\nA: b'],
  ])('refuses %s', (_name, head) => {
    const parsed = parseText(`${head}\r\nContent-Length: 1\r\n\r\na`);
    expect(parsed.problem).toBeDefined();
    expect(parsed.statuses).toEqual([]);
  });

  // Guards against an answer without a valid status, and against one that is
  // read out of the bytes after a malformed status line.
  it('passes on no response with a status outside 200 to 599', () => {
    const digit = fc.constantFrom(...'0123456789');
    const status = fc.oneof(
      fc.string({unit: digit, minLength: 3, maxLength: 3}),
      fc.string({unit: digit, maxLength: 5}),
      fc.string({maxLength: 5}),
    );
    fc.assert(
      fc.property(status, fc.nat(60), (text, cut) => {
        const odd = `HTTP/1.1 ${text} OK\r\nContent-Length: 0\r\n\r\n`;
        const {statuses, problem} = parseText(odd + FIXED, [cut]);
        const isFinal = /^[2-5]\d\d$/.test(text);
        const isInterim = /^1\d\d$/.test(text) && text !== '101';
        if (isFinal) expect(statuses[0]).toBe(Number(text));
        else if (isInterim) expect(statuses).toEqual([404]);
        else
          expect({statuses, problem}).not.toMatchObject({problem: undefined});
        if (!isFinal && !isInterim) expect(statuses).toEqual([]);
      }),
      {numRuns: 5_000},
    );
  });

  it('passes on only heads that Node.js can write', () => {
    const byte = fc.nat(255).map(code => String.fromCharCode(code));
    const text = fc.string({unit: byte, maxLength: 4});
    fc.assert(
      fc.property(fc.nat(999), text, text, (status, reason, value) => {
        const digits = String(status).padStart(3, '0');
        parseText(
          `HTTP/1.1 ${digits} ${reason}\r\nA: ${value}\r\nContent-Length: 0\r\n\r\n`,
          [],
          head => {
            const response = new ServerResponse(
              new IncomingMessage(new Socket()),
            );
            response.writeHead(head.status, head.reason, [...head.rawHeaders]);
          },
        );
      }),
      {numRuns: 2_000},
    );
  });

  it.each(['x\r\n', '5 5\r\n', '-1\r\n', '\r\n'])(
    'refuses the chunk size %j',
    size => {
      const parsed = parseText(
        `HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n${size}`,
      );
      expect(parsed.problem).toBeDefined();
    },
  );

  it('refuses a chunk that is longer than its size', () => {
    const parsed = parseText(
      'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n',
    );
    expect(parsed.problem).toBeDefined();
  });

  it('never throws on arbitrary bytes', () => {
    fc.assert(
      fc.property(fc.string({maxLength: 300}), text => {
        parseText(`HTTP/1.1 200 OK\r\n${text}`, [7, 40]);
      }),
    );
  });
});
