import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {GrantOutcome, MessageType, decodeMessage, encodeMessage} from './index';
import type {Message} from './index';

describe('message codec', () => {
  it('returns an encoded message unchanged', () => {
    const message = {
      type: MessageType.ResponseChunk as const,
      attemptId: 'attempt-1',
      sequence: 3,
      data: new Uint8Array([1, 2, 3]),
    };
    const decoded = decodeMessage(encodeMessage(message)).unsafeCoerce();
    expect(decoded).toMatchObject({attemptId: 'attempt-1', sequence: 3});
  });

  // Fails if encoding omits a field that has no default in its schema.
  it('restores the default fields that loan and grant messages omit', () => {
    const report = {requestId: 'a', spentTokens: 0, returnedTokens: 0};
    const reports = [{...report, refundedTokens: 7}];
    const request = {requestId: 'a', account: 'acme', neededTokens: 0};
    const grant = {requestId: 'a', account: 'acme', tokens: 0, durationMs: 0};
    const loan = {requestId: 'a', bucket: 0, units: 0, unitCount: 8};
    const messages: Message[] = [
      {type: MessageType.GrantReturn, account: 'acme', reports},
      {type: MessageType.GrantRequest, ...request, wantedTokens: 0, reports},
      {
        type: MessageType.GrantRequest,
        ...request,
        wantedTokens: 3,
        reports: [],
      },
      {
        type: MessageType.Grant,
        ...grant,
        outcome: GrantOutcome.Refused,
        retryAfterMs: 0,
      },
      {type: MessageType.Loan, ...loan, lentTokens: {}, durationMs: 0},
      {type: MessageType.Loan, ...loan, lentTokens: {acme: 2}, durationMs: 9},
    ];
    for (const message of messages) {
      const decoded = decodeMessage(encodeMessage(message)).unsafeCoerce();
      expect(decoded).toEqual(message);
    }
  });

  it('rejects arbitrary bytes without throwing', () => {
    fc.assert(
      fc.property(fc.uint8Array({maxLength: 200}), bytes => {
        expect(decodeMessage(bytes).isLeft()).toBe(true);
      }),
    );
  });
});
