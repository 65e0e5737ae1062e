@router @targetNotices @stageNotices
Feature: Stage pieces follow what workers say about themselves

  Background:
    Given a stage service with the workers "a" and "b"

  # Guards against pieces that were queued when their worker said that it is leaving.
  Scenario Outline: A worker that says that it is leaving gets no further piece
    Given worker "a" says that it is leaving with a batch that is "<answer>"
    When 30 pieces are submitted, one each 50 ms
    Then worker "a" got 1 batch
    And all pieces were made

    Examples:
      | answer   |
      | answered |
      | refused  |
      | broken   |

  # Guards against a notice of an answer that belongs to another batch.
  Scenario: A batch answer that belongs to another batch says nothing
    Given worker "a" says that it is leaving with a batch that is "of other pieces"
    When 30 pieces are submitted, one each 50 ms
    Then worker "a" got more than 1 batch

  Scenario: A worker that another router says is leaving gets no further piece
    Given another router says that worker "a" is leaving
    When 30 pieces are submitted, one each 50 ms
    Then worker "a" got 0 batches
    And all pieces were made

  # Guards against figures that never reach the choice, or are those of another batch.
  Scenario Outline: A worker that states that it is slow gets no piece while a faster one is idle
    Given worker "a" states a load of 400 % with a batch that is "<answer>"
    When 8 pieces are submitted, one each 50 ms
    Then worker "a" got <batches>

    Examples:
      | answer          | batches             |
      | answered        | 1 batch             |
      | of other pieces | more than 1 batch |

  # Guards against batches and freed results that reach a worker that asked for a pause.
  Scenario: A worker that asked for a pause is sent nothing until it ends
    Given worker "a" asks for a pause of 2000 ms with a batch that is "refused"
    When 30 pieces are submitted, one each 50 ms
    And a result of worker "a" is freed
    Then worker "a" got 1 batch
    And worker "a" got 0 frees
    When another 2000 ms pass
    Then worker "a" got 1 free
    And all pieces were made

  # Guards against pieces that wait until their deadline for workers that are known not to take them.
  Scenario: Pieces that can't wait for the end of any pause are given up at once
    Given both workers have asked for a pause of 3000 ms
    When a piece that has to be done in 1000 ms is submitted
    Then it fails as "busy" within 50 ms

  Scenario: Pieces that can wait are run when the first pause ends
    Given both workers have asked for a pause of 500 ms
    When a piece that has to be done in 2000 ms is submitted
    Then it is made within 1000 ms

  # Guards against a notice that is lost because it came with the answer to a free.
  Scenario Outline: What the answer to a free says concerns the start that it was sent to
    Given the answer to a free says that its worker is leaving
    And <before> the answer worker "a" is started again
    When a result of worker "a" is freed through the node
    Then the present start of worker "a" <now> be sent to

    Examples:
      | before      | now     |
      | long before | may not |
      | just before | may     |

  Scenario: The load that the answer to a free states is kept
    When a result of worker "a" is freed through the node
    Then the load of worker "a" is known

  Scenario: What another router says over its link is believed
    When another router's link says that worker "a" is leaving
    Then the present start of worker "a" may not be sent to
