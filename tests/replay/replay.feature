Feature: What happened once is decided the same way again
  Traces were recorded from real processes while the platform's answers got lost after
  the write, the service's answer got lost after the effect, and the platform was down.
  A new version that decides otherwise would charge a club twice or lose its history.

  Scenario: A recorded trace
    Given the trace "lost-answers"
    When it is replayed
    Then everything is as stated
    And 18 calls and turns were replayed

  Scenario: A version that sends a call again after its answer was lost
    Given the trace "lost-answers"
    And a version that takes a lost answer for a call that never went out
    When it is replayed
    Then the replay shows a difference

  Scenario: A journal row that two hosts took for theirs
    Given the trace "lost-answers"
    And the first charge recorded once more under another attempt
    When it is replayed
    Then the replay says that the call would run twice

  Scenario: An operator replays a trace
    Given the trace "lost-answers"
    When the operator runs swifttide replay
    Then the command says that all is as stated
