/** Rules of lending that the random faults of the model test rarely reach. */
import {
  LogLevel,
  createLogger,
  createManualClock,
} from '@siskinplank/foundation';
import {MessageType} from '@siskinplank/messages';
import type {MessageOf} from '@siskinplank/messages';
import {expect, it} from 'vitest';
import {createCoordinator} from './coordinator';
import {createHeldGrants} from './held-grants';
import {createLender} from './lender';
import type {Lender} from './lender';
import {createLoanBucket} from './loan-bucket';
import {makeAccount} from './testing/fake-cluster';
import {createTokenPool} from './token-pool';

const ACCOUNT = makeAccount('acme', 100, 1_000);

function createTestLender(
  leaseEndMs: number,
  getUnits: () => number = () => 32,
): Lender {
  const lender = createLender({
    bucketCount: 1,
    holder: {
      getLoanMs: () => 10_000,
      getUnits: nowMs => (nowMs < leaseEndMs ? getUnits() : 0),
      getUnitCount: () => 64,
      getLeaseEndMs: () => leaseEndMs,
    },
    getAccount: name => (name === ACCOUNT.name ? ACCOUNT : undefined),
    getBucket: () => 0,
    listAccounts: () => [ACCOUNT],
  });
  lender.applyUnits(0, true);
  return lender;
}

// Guards against lender and borrower both spending one share: a return that
// arrives after the next lend request must not end the loan.
it('ignores the return of an earlier loan', () => {
  const lender = createTestLender(1e9);
  expect(lender.lendUnits(0, 'b/1', 'r1', 10_000, 0).units).toBe(32);
  expect(lender.lendUnits(0, 'b/1', 'r2', 10_000, 5_000).units).toBe(32);
  lender.returnUnits(0, 'b/1', 'r1', {acme: 400}, 5_100);
  expect(lender.refreshPool('acme', 5_100)?.getLimits().capTokens).toBe(0);
  lender.returnUnits(0, 'b/1', 'r2', {acme: 400}, 5_200);
  expect(lender.refreshPool('acme', 5_200)?.getLevel()).toBe(400);
});

// Guards against a level that counts at both the lender and the coordinator.
it('starts from an empty level when a loan ends', () => {
  const lender = createTestLender(1e9);
  const lent = lender.lendUnits(0, 'b/1', 'r1', 10_000, 0);
  expect(lent.lentTokens).toEqual({acme: 500});
  expect(lender.lendUnits(0, 'c/1', 'r1', 10_000, 1_000).units).toBe(0);
  expect(lender.refreshPool('acme', 11_000)?.getLevel()).toBeCloseTo(50);
});

// Guards against a lender that refuses renewals while its units are reduced,
// and against units released while the borrower may still use the larger loan
// because the reply with fewer units was lost.
it('renews a loan with fewer units and keeps the larger one to its end', () => {
  let units = 32;
  const lender = createTestLender(1e9, () => units);
  expect(lender.lendUnits(0, 'b/1', 'r1', 10_000, 0).units).toBe(32);
  units = 20;
  expect(lender.lendUnits(0, 'b/1', 'r2', 10_000, 3_000).units).toBe(20);
  expect(lender.canReduceTo(20, 9_999)).toBe(false);
  expect(lender.canReduceTo(20, 10_000)).toBe(true);
  expect(lender.canReduceTo(19, 12_999)).toBe(false);
  expect(lender.lendUnits(0, 'c/1', 'r1', 10_000, 12_999).units).toBe(0);
  expect(lender.lendUnits(0, 'c/1', 'r2', 10_000, 13_000).units).toBe(20);
});

// Guards against units that stay unused until the end of a loan that the
// borrower has already replaced by a smaller one.
it('frees units once the borrower applied the smaller loan', () => {
  let units = 32;
  const lender = createTestLender(1e9, () => units);
  lender.lendUnits(0, 'b/1', 'r1', 10_000, 0);
  units = 20;
  lender.lendUnits(0, 'b/1', 'r2', 10_000, 3_000);
  expect(lender.canReduceTo(20, 3_000)).toBe(false);
  lender.lendUnits(0, 'b/1', 'r3', 10_000, 3_200, 'r1');
  expect(lender.canReduceTo(20, 3_200)).toBe(false);
  lender.lendUnits(0, 'b/1', 'r4', 10_000, 3_400, 'r3');
  expect(lender.canReduceTo(20, 3_400)).toBe(true);
});

// Guards against a late reply with units that the lender no longer lends.
it('keeps the units of the newest renewal', () => {
  const bucket = createLoanBucket({
    getAccount: () => ACCOUNT,
    onLoanDropped: () => {},
  });
  const loan = {
    units: 16,
    unitCount: 64,
    endMs: 13_000,
    renewedMs: 3_000,
    dropAfterMs: 4_000,
  };
  bucket.applyLoan('a/1', loan, {}, 3_010);
  const late = {...loan, units: 32, endMs: 10_000, renewedMs: 0};
  bucket.applyLoan('a/1', late, {}, 3_020);
  expect(bucket.getPool('acme', 3_020)?.getLimits().capTokens).toBe(250);
});

// Guards against a loan of units that the next holder already uses.
it('lends no longer than its share lease', () => {
  const lender = createTestLender(4_000);
  const lent = lender.lendUnits(0, 'b/1', 'r1', 10_000, 1_000);
  expect(lent.durationMs).toBe(3_000);
});

// Guards against two bursts in one window through a refund.
it('refunds at most the smallest headroom since the spending', () => {
  const limits = {capTokens: 100, tokensPerMs: 0.1};
  const pool = createTokenPool(limits, 100, 0);
  const mark = pool.spend(100);
  pool.accrue(1_000);
  pool.spend(100);
  expect(pool.refund(mark, 100)).toBe(0);
  const laterMark = pool.spend(0);
  pool.accrue(1_400);
  expect(pool.refund(laterMark, 100)).toBeCloseTo(60);
});

// Guards against several refunds that use the same headroom.
it('credits the headroom at one moment to one refund only', () => {
  const limits = {capTokens: 100, tokensPerMs: 0.1};
  const pool = createTokenPool(limits, 100, 0);
  const marks = [pool.spend(20), pool.spend(20), pool.spend(20)];
  // The headroom falls from 60 to 20 while all three are open.
  pool.accrue(400);
  pool.spend(80);
  const credits = marks.map(mark => {
    const credited = pool.refund(mark, 20);
    pool.spend(credited);
    return credited;
  });
  expect(credits.reduce((sum, credited) => sum + credited, 0)).toBeCloseTo(20);
});

// Guards against a late report that frees tokens of a newer grant.
it('applies a report only to its own grant', () => {
  const bucket = createLoanBucket({
    getAccount: () => ACCOUNT,
    onLoanDropped: () => {},
  });
  const loan = {
    units: 64,
    unitCount: 64,
    endMs: 3_000,
    renewedMs: 0,
    dropAfterMs: 4_000,
  };
  bucket.applyLoan('a/1', loan, {acme: 1_000}, 0);
  bucket.issueGrant('g1', 'b/1', 'acme', 300, 0);
  bucket.applyLoan('a/1', {...loan, endMs: 9_000, renewedMs: 2_900}, {}, 2_950);
  bucket.refresh(3_100);
  bucket.issueGrant('g2', 'b/1', 'acme', 200, 3_100);
  const report = {spentTokens: 300, returnedTokens: 0, refundedTokens: 0};
  bucket.applyReport('b/1', {requestId: 'g1', ...report}, 3_200);
  expect(bucket.getPool('acme', 3_200)?.getOutstanding()).toBe(200);
  bucket.applyReport('c/1', {requestId: 'g2', ...report}, 3_200);
  expect(bucket.getPool('acme', 3_200)?.getOutstanding()).toBe(200);
});

// Guards against unspent tokens that are both kept and returned.
it('spends a grant until its end and returns the rest once', () => {
  const grants = createHeldGrants();
  grants.addGrant('g1', 'c/1', 100, 1_000);
  expect(grants.spendTokens(30, 0)).toEqual([{requestId: 'g1', tokens: 30}]);
  grants.refundPart('g1', 10, 500);
  expect(grants.countTokens(500)).toBe(80);
  grants.returnAllGrants(600);
  expect(grants.countTokens(600)).toBe(0);
  expect(grants.takeReports('c/1')).toEqual([
    {requestId: 'g1', spentTokens: 20, returnedTokens: 80, refundedTokens: 0},
  ]);
  grants.refundPart('g1', 5, 700);
  expect(grants.takeReports('c/1')[0].refundedTokens).toBe(5);
});

interface CoordinatorHarness {
  send(grantee: string, requestId: string, tokens: number): void;
  lend(durationMs: number, lentTokens: number): void;
  runFor(durationMs: number): void;
  replies: Array<{grantee: string; tokens: number; durationMs: number}>;
}

function createCoordinatorHarness(): CoordinatorHarness {
  const clock = createManualClock();
  const requests: Array<MessageOf<MessageType.LendRequest>> = [];
  let nextId = 0;
  const replies: CoordinatorHarness['replies'] = [];
  const coordinator = createCoordinator({
    bucketCount: 1,
    loanMs: 10_000,
    loanRenewMs: 3_000,
    lendersPerPeriod: 128,
    reserveWaitMs: 2_000,
    clock,
    logger: createLogger({
      level: LogLevel.Error,
      getWallMs: () => 0,
      write: () => {},
    }),
    getAccount: () => ACCOUNT,
    getBucket: () => 0,
    makeRequestId: () => `lend-${(nextId += 1)}`,
    listLenders: () => ['a'],
    isCoordinator: () => true,
    sendTo: (_host, message) => {
      if (message.type === MessageType.LendRequest) requests.push(message);
    },
  });
  return {
    replies,
    runFor: durationMs => clock.runFor(durationMs),
    send: (grantee, requestId, neededTokens) =>
      coordinator.handleGrantRequest(
        grantee,
        {
          type: MessageType.GrantRequest,
          requestId,
          account: 'acme',
          neededTokens,
          wantedTokens: 0,
          reports: [],
        },
        ({tokens, durationMs}) =>
          void replies.push({grantee, tokens, durationMs}),
        clock.getNowMs(),
      ),
    lend: (durationMs, tokens) => {
      const [request] = requests;
      coordinator.handleLoan(
        'a',
        '1',
        {
          type: MessageType.Loan,
          requestId: request.requestId,
          bucket: 0,
          units: 64,
          unitCount: 64,
          lentTokens: {acme: tokens},
          durationMs,
        },
        clock.getNowMs(),
      );
    },
  };
}

// Guards against grants that are spent after the lender uses its units again.
it('limits grants to the end of the loan, measured from its request', () => {
  const harness = createCoordinatorHarness();
  harness.send('b/1', 'g1', 10);
  harness.runFor(400);
  harness.lend(10_000, 500);
  expect(harness.replies).toEqual([
    {grantee: 'b/1', tokens: 10, durationMs: 9_600},
  ]);
});

// Guards against a loan that is used although the reply came after its end.
it('ignores a loan that arrives after its end', () => {
  const harness = createCoordinatorHarness();
  harness.send('b/1', 'g1', 10);
  harness.runFor(900);
  harness.lend(900, 500);
  expect(harness.replies).toEqual([]);
});

// Guards against later small requests that overtake a larger one.
it('serves waiting requests in the order of arrival', () => {
  const harness = createCoordinatorHarness();
  harness.send('b/1', 'g1', 60);
  harness.send('c/1', 'g2', 5);
  harness.send('d/1', 'g3', 500);
  harness.lend(10_000, 20);
  expect(harness.replies).toEqual([]);
  harness.runFor(1_100);
  const served = harness.replies.filter(reply => reply.tokens > 0);
  expect(served.map(reply => reply.grantee)).toEqual(['b/1', 'c/1']);
  // 500 tokens cannot accrue within the longest wait.
  expect(harness.replies.some(reply => reply.grantee === 'd/1')).toBe(true);
});
