import {describe, expect, it} from 'vitest';
import {computeLastStartAtMs} from './last-start';

const STOP_AT_MS = 7_500;
const NOTICE_ENDS_AT_MS = 2_500;
const INPUT = {
  stopAtMs: STOP_AT_MS,
  noticeEndsAtMs: NOTICE_ENDS_AT_MS,
  deadlineAtMs: 20_000,
  expectedMs: 2_000,
  longestMs: undefined,
  needsCertainty: false,
};

describe('last start of a request before a shutdown', () => {
  it('leaves the time that the request is expected to take', () => {
    expect(computeLastStartAtMs(INPUT)).toBe(5_500);
  });

  it('refuses a request that takes longer than the grace', () => {
    const lastStartAtMs = computeLastStartAtMs({...INPUT, expectedMs: 8_000});
    expect(lastStartAtMs).toBeLessThan(0);
  });

  it('refuses a request of unknown duration that may outlast the gateway', () => {
    const input = {...INPUT, expectedMs: undefined};
    expect(computeLastStartAtMs(input)).toBe(-Infinity);
  });

  it('takes a request whose deadline ends before the gateway does', () => {
    const input = {...INPUT, deadlineAtMs: 7_000};
    expect(computeLastStartAtMs({...input, expectedMs: undefined})).toBe(7_000);
    expect(computeLastStartAtMs({...input, expectedMs: 9_000})).toBe(7_000);
  });

  // A cut response is lost; a refused request is served by another gateway.
  it('starts a request that needs certainty by its longest duration after the notice', () => {
    const input = {...INPUT, needsCertainty: true};
    const getLastStartAtMs = (longestMs: number | undefined): number =>
      computeLastStartAtMs({...input, longestMs});
    expect(getLastStartAtMs(3_000)).toBe(4_500);
    expect(getLastStartAtMs(6_000)).toBe(NOTICE_ENDS_AT_MS);
    expect(getLastStartAtMs(undefined)).toBe(NOTICE_ENDS_AT_MS);
  });

  it('starts a request that needs certainty by its expected duration in the notice', () => {
    const input = {...INPUT, needsCertainty: true, longestMs: 7_000};
    expect(computeLastStartAtMs({...input, expectedMs: 6_000})).toBe(1_500);
    expect(computeLastStartAtMs({...input, expectedMs: undefined})).toBe(500);
  });

  it('takes a request that needs certainty if its deadline ends before', () => {
    const input = {...INPUT, needsCertainty: true, deadlineAtMs: 7_000};
    expect(computeLastStartAtMs({...input, expectedMs: undefined})).toBe(7_000);
  });
});
