import {describe, expect, it} from 'vitest';
import {TakeoverReason, planTakeover} from './takeover';
import type {TakeoverInput} from './takeover';

const LEASE = {
  holder: 'gateway-a',
  incarnation: 'a1',
  token: 3,
  isReleased: false,
};

function makeInput(changes: Partial<TakeoverInput>): TakeoverInput {
  return {
    lease: LEASE,
    isLeaseKnown: true,
    isStoreRestored: false,
    ownName: 'gateway-b',
    isLeaving: false,
    candidates: ['gateway-b', 'gateway-c'],
    holderLastSeenAtMs: 9_900,
    listeningSinceMs: 0,
    leaseLearnedAtMs: 0,
    endedSinceMs: undefined,
    nowMs: 10_000,
    ...changes,
  };
}

describe('planTakeover', () => {
  it('waits while the holder is responsive', () => {
    expect(planTakeover(makeInput({}))).toBeUndefined();
  });

  it('takes a released lease without waiting', () => {
    const plan = planTakeover(makeInput({lease: {...LEASE, isReleased: true}}));
    expect(plan).toEqual({
      reason: TakeoverReason.Released,
      lastOrderAtMs: undefined,
    });
  });

  it('takes over when another process has the name of the holder', () => {
    const plan = planTakeover(makeInput({endedSinceMs: 10_000}));
    expect(plan?.reason).toBe(TakeoverReason.Ended);
  });

  // An unresponsive holder may still be running and sending orders. With the
  // start of this process instead of the time last seen, the new holder sent
  // orders at once.
  it('assumes that an unresponsive holder sent orders until last seen', () => {
    const plan = planTakeover(makeInput({holderLastSeenAtMs: 8_000}));
    expect(plan).toEqual({
      reason: TakeoverReason.Unresponsive,
      lastOrderAtMs: 8_000,
    });
  });

  // A holder without a link to this gateway would lose the lease at once, and
  // take it back in the same way.
  it('gives a holder that was never seen its time from the lease on', () => {
    const input = {holderLastSeenAtMs: undefined, leaseLearnedAtMs: 9_500};
    expect(planTakeover(makeInput(input))).toBeUndefined();
    expect(planTakeover(makeInput({...input, nowMs: 11_600}))).toEqual({
      reason: TakeoverReason.Unresponsive,
      lastOrderAtMs: 9_500,
    });
  });

  it('leaves a lease without a holder to the first candidate at first', () => {
    const second = {candidates: ['gateway-a', 'gateway-b']};
    const released = {...LEASE, isReleased: true};
    for (const free of [
      {lease: released, leaseLearnedAtMs: 9_900},
      {endedSinceMs: 9_900},
    ]) {
      const input = {...second, ...free};
      expect(planTakeover(makeInput(input))).toBeUndefined();
      expect(planTakeover(makeInput({...input, nowMs: 10_060}))).toBeDefined();
    }
  });

  // The lease may be an old one, and its holder unknown.
  it('listens to peers first if the store was restored', () => {
    for (const lease of [undefined, {...LEASE, isReleased: true}]) {
      const input = {lease, isStoreRestored: true};
      expect(planTakeover(makeInput({...input, nowMs: 1_900}))).toBeUndefined();
      expect(planTakeover(makeInput({...input, nowMs: 2_100}))).toBeDefined();
    }
  });

  it('delays each candidate by its position in the sorted list', () => {
    const silent = {holderLastSeenAtMs: 7_950, candidates: ['gateway-b', 'x']};
    expect(planTakeover(makeInput(silent))?.reason).toBe(
      TakeoverReason.Unresponsive,
    );
    const second = planTakeover(
      makeInput({...silent, candidates: ['a', 'gateway-b']}),
    );
    expect(second).toBeUndefined();
  });

  it('takes its own lease again after a restart or a lost response', () => {
    const plan = planTakeover(
      makeInput({lease: {...LEASE, holder: 'gateway-b'}}),
    );
    expect(plan?.reason).toBe(TakeoverReason.Ended);
  });

  it('does nothing before the lease was read or while leaving', () => {
    const withoutLease = {lease: undefined};
    expect(planTakeover(makeInput(withoutLease))?.reason).toBe(
      TakeoverReason.NoHolder,
    );
    expect(
      planTakeover(makeInput({...withoutLease, isLeaseKnown: false})),
    ).toBeUndefined();
    expect(
      planTakeover(makeInput({...withoutLease, isLeaving: true})),
    ).toBeUndefined();
  });
});
